/*
 * Admission: what may queue. A refusal is given at once, says why, and
 * spreads the time at which to come back. A caller may fill what is left of
 * the queue only as far as it leaves as much to the others, so that a burst
 * of one caller ends in that caller's own refusals.
 */
#include <string.h>

#include "state/dispatch_state.h"
#include "util/alloc.h"

enum {
	RETRY_AFTER_MAX_MS = 30000,
	PREDICTED_WAIT_MAX_MS =
		1000 /* predicted wait of a job without a deadline */
};

/* Half to one and a half times `ms`, so that callers come back spread. */
static uint32_t jitter(struct syc_dispatch *d, uint32_t ms)
{
	return ms / 2 + (uint32_t)rng_below(&d->rng, (uint64_t)ms + 1);
}

void admission_refuse(struct syc_dispatch *d, uint64_t tag, struct flow *f,
		      enum syc_reason reason, uint32_t retry_after_ms,
		      const char *detail)
{
	struct syc_answer a = {0};

	a.outcome = SYC_NOT_RUN;
	a.reason = reason;
	if (retry_after_ms)
		a.retry_after_ms = jitter(d, retry_after_ms) + 1;
	copy_name(a.detail, sizeof(a.detail), detail);
	if (f)
		ledger_count_answer(&f->ledger, d->bundle->version, SYC_NOT_RUN,
				    reason);
	else
		d->refused_without_service++;
	d->opt.done(d->opt.ctx, tag, &a);
}

static bool all_fit(const struct pool *p, const struct syc_job_spec *spec)
{
	uint32_t i;

	for (i = 0; i < spec->n_tasks; i++)
		if (!placement_fits_any(p, &spec->tasks[i]))
			return false;
	return true;
}

/* A job of a caller with nothing waiting may take up to half the queue. */
static bool has_room(const struct syc_dispatch *d, const struct caller *c,
		     uint32_t n)
{
	uint64_t left;

	if ((uint64_t)d->waiting_tasks + n > d->opt.queue_max)
		return false;
	left = d->opt.queue_max - d->waiting_tasks;
	if (!c->waiting_tasks)
		return n <= left &&
		       (n <= d->opt.queue_max / 2 || !d->waiting_tasks);
	return (uint64_t)c->waiting_tasks + n <= left;
}

/*
 * Slots that work queued here may count on. What is at hand at one moment may
 * be far below what the next asks bring, so what asks brought lately counts
 * too, as far as it is still listed.
 */
static uint64_t slots_expected(const struct pool *p)
{
	uint64_t at_hand = (uint64_t)p->slots_used + p->slots_free;
	uint64_t listed = (uint64_t)p->n_listed * p->conf.slots;
	uint64_t won = (uint64_t)p->slots_obtained_mean;

	if (won > listed)
		won = listed;
	return at_hand > won ? at_hand : won;
}

/*
 * How long work of `work_ms` slot-milliseconds takes with the part of the
 * slots that the caller gets while all who wait now go on waiting.
 */
static uint64_t part_ms(const struct pool *p, const struct flow *f,
			uint64_t work_ms)
{
	uint64_t slots = slots_expected(p);
	uint64_t share = f->caller->conf.share ? f->caller->conf.share : 1;
	uint64_t shares = p->active_shares + (f->active_share ? 0 : share);

	return slots ? work_ms * shares / (slots * share) : 0;
}

/* When the last task of the job would end, in ms from now. */
static uint64_t predicted_ms(const struct pool *p, const struct flow *f,
			     const struct kind *k,
			     const struct syc_job_spec *spec)
{
	uint64_t task_ms = estimate_ms(k, 0);
	uint64_t work_ms = (uint64_t)f->waiting_slot_ms +
			   task_ms * spec->n_tasks;

	if (work_ms <= task_ms * p->slots_free)
		return task_ms;
	return part_ms(p, f, work_ms) + task_ms;
}

/*
 * Refuses what would wait too long by what the kind has taken so far; while
 * nothing is known of the kind, nothing is refused for it.
 */
static bool in_time(struct syc_dispatch *d, uint64_t tag,
		    const struct syc_job_spec *spec, struct flow *f,
		    const struct kind *k)
{
	uint64_t ms, most = spec->deadline_ms;

	if (!estimate_is_known(k))
		return true;
	ms = most ? predicted_ms(k->pool, f, k, spec)
		  : part_ms(k->pool, f, (uint64_t)f->waiting_slot_ms);
	if (!most)
		most = PREDICTED_WAIT_MAX_MS;
	if (ms <= most)
		return true;
	ms -= most;
	admission_refuse(
		d, tag, f, spec->deadline_ms ? SYC_DEADLINE : SYC_QUEUE_FULL,
		ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS : (uint32_t)ms,
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
	if (!all_fit(k->pool, spec)) {
		admission_refuse(d, tag, f, SYC_NO_FIT, 0,
				 "a task is larger than any target");
		return false;
	}
	if (!has_room(d, f->caller, spec->n_tasks)) {
		admission_refuse(d, tag, f, SYC_QUEUE_FULL, QUEUE_FULL_RETRY_MS,
				 "the caller's part of the queue is full");
		return false;
	}
	if (!in_time(d, tag, spec, f, k))
		return false;
	return allotment_admit(d, now, tag, f, spec->n_tasks);
}
