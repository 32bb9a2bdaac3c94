/*
 * Admission: decides which submissions may queue. A refusal is answered at
 * once with its reason and a randomised time after which to retry. The waiting
 * tasks of a caller may not exceed the free part of the queue, so a burst of
 * one caller leads to refusals of this caller only.
 */
#include <string.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"

enum {
	RETRY_AFTER_MAX_MS = 30000,
	PREDICTED_WAIT_MAX_MS = 1000 /* of a job without a deadline */
};

/* 0.5 to 1.5 times `ms`, so that callers do not retry at the same time. */
static uint32_t randomise_ms(struct syc_dispatch *d, uint32_t ms)
{
	return ms / 2 + (uint32_t)rng_below(&d->rng, (uint64_t)ms + 1);
}

void admission_refuse(struct syc_dispatch *d, uint64_t tag, struct flow *f,
		      enum syc_reason reason, uint32_t retry_after_ms,
		      const char *detail)
{
	struct syc_answer answer = {0};

	answer.outcome = SYC_NOT_RUN;
	answer.reason = reason;
	if (retry_after_ms)
		answer.retry_after_ms = randomise_ms(d, retry_after_ms) + 1;
	copy_text(answer.detail, sizeof(answer.detail), detail);
	if (f)
		ledger_count_answer(&f->ledger, d->bundle->version, SYC_NOT_RUN,
				    reason);
	else
		d->refused_without_service++;
	d->opt.done(d->opt.ctx, tag, &answer);
}

static bool all_tasks_fit(const struct pool *p, const struct syc_job_spec *spec)
{
	uint32_t i;

	for (i = 0; i < spec->n_tasks; i++)
		if (!placement_fits_any(p, &spec->tasks[i]))
			return false;
	return true;
}

/*
 * The waiting tasks of a caller, new ones included, must not exceed the part of
 * the queue that is free before. A job of a caller without waiting tasks may
 * fill up to half the queue, or all of an empty queue.
 */
static bool fits_queue(const struct syc_dispatch *d, const struct caller *c,
		       uint32_t n_tasks)
{
	uint64_t n_free;

	if ((uint64_t)d->waiting_tasks + n_tasks > d->opt.queue_max)
		return false;
	n_free = d->opt.queue_max - d->waiting_tasks;
	if (!c->waiting_tasks)
		return n_tasks <= n_free &&
		       (n_tasks <= d->opt.queue_max / 2 || !d->waiting_tasks);
	return (uint64_t)c->waiting_tasks + n_tasks <= n_free;
}

/*
 * The slots that the queue of this instance can expect. The slots available at
 * one moment may be far below what the next requests to owners obtain, so the
 * mean of the slots obtained counts too, up to the number of listed slots.
 */
static uint64_t expected_slots(const struct pool *p)
{
	uint64_t available = (uint64_t)p->slots_used + p->slots_free;
	uint64_t listed = (uint64_t)p->n_listed * p->conf.slots;
	uint64_t obtained = (uint64_t)p->slots_obtained_mean;

	if (obtained > listed)
		obtained = listed;
	return available > obtained ? available : obtained;
}

/*
 * The time in ms that `work_ms` slot-milliseconds take on the caller's share
 * of the expected slots. The shares of all flows that wait now are counted.
 */
static uint64_t time_at_share_ms(const struct pool *p, const struct flow *f,
				 uint64_t work_ms)
{
	uint64_t slots = expected_slots(p);
	uint64_t share = f->caller->conf.share ? f->caller->conf.share : 1;
	uint64_t shares = p->active_shares + (f->active_share ? 0 : share);

	return slots ? work_ms * shares / (slots * share) : 0;
}

/* The time in ms until the last task of the job would end. */
static uint64_t predicted_end_ms(const struct pool *p, const struct flow *f,
				 const struct kind *k,
				 const struct syc_job_spec *spec)
{
	uint64_t task_ms = estimate_ms(k, 0);
	uint64_t work_ms = (uint64_t)f->waiting_slot_ms +
			   task_ms * spec->n_tasks;

	if (work_ms <= task_ms * p->slots_free)
		return task_ms;
	return time_at_share_ms(p, f, work_ms) + task_ms;
}

/*
 * Refuses a submission that would end after its deadline or, if it has none,
 * wait too long. The prediction uses the learned run time of the kind; without
 * enough samples nothing is refused.
 */
static bool check_predicted_wait(struct syc_dispatch *d, uint64_t tag,
				 const struct syc_job_spec *spec,
				 struct flow *f, const struct kind *k)
{
	uint64_t wait_ms, wait_max_ms = spec->deadline_ms;

	if (!estimate_is_known(k))
		return true;
	wait_ms = wait_max_ms ? predicted_end_ms(k->pool, f, k, spec)
			      : time_at_share_ms(k->pool, f,
						 (uint64_t)f->waiting_slot_ms);
	if (!wait_max_ms)
		wait_max_ms = PREDICTED_WAIT_MAX_MS;
	if (wait_ms <= wait_max_ms)
		return true;
	wait_ms -= wait_max_ms;
	admission_refuse(d, tag, f,
			 spec->deadline_ms ? SYC_DEADLINE : SYC_QUEUE_FULL,
			 wait_ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS
						      : (uint32_t)wait_ms,
			 "the predicted wait is too long");
	return false;
}

bool admission_check(struct syc_dispatch *d, int64_t now, uint64_t tag,
		     const struct syc_job_spec *spec, struct flow *f,
		     struct kind *k)
{
	if (!k->pool->n_listed) {
		admission_refuse(d, tag, f, SYC_NO_TARGET, NO_TARGET_RETRY_MS,
				 "no target of the service is listed");
		return false;
	}
	if (!all_tasks_fit(k->pool, spec)) {
		admission_refuse(d, tag, f, SYC_NO_FIT, 0,
				 "a task is larger than any target");
		return false;
	}
	if (!fits_queue(d, f->caller, spec->n_tasks)) {
		admission_refuse(d, tag, f, SYC_QUEUE_FULL, QUEUE_FULL_RETRY_MS,
				 "the caller's part of the queue is full");
		return false;
	}
	if (!check_predicted_wait(d, tag, spec, f, k))
		return false;
	return allotment_admit(d, now, tag, f, spec->n_tasks);
}
