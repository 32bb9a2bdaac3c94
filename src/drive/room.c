/*
 * Decides by a plan of the room (policy/room_plan.h) which jobs can be in time:
 * gathers the workers, the runs and the queue for it. See docs/design/room.md.
 */
#include <stdlib.h>

#include "drive/drive_state.h"
#include "policy/room_plan.h"
#include "util/alloc.h"

enum {
	LOST_RETRY_MS = 1000,
	POOLS_MAX = 32, /* jobs of further pools are not planned */
	/* A list shows how fast a run is once it has done this much of it. */
	PERCENT_MIN = 20,
	/* A run that is overdue takes a further part of its expected time. */
	OVERDUE_DIVISOR = 8,
	/* By the next check an end that is due may have been reported. */
	REVIEW_MARGIN_MS = 20,
	/*
	 * Looks at a worker that plans take between two ticks. More would delay
	 * the answers of workers. A plan looks at each for each job of the queue.
	 */
	LOOKS_PER_TICK = 60000,
	REFUSALS_PER_REVIEW = 4, /* each takes a plan */
	SLOTS_PER_TASK = 1
};

/*
 * The others take room that the waiting job could not use, or do not come. A job
 * that waits in vain loses less than one that is refused in vain.
 */
static const double surge_share = 0.4;

/* Jobs that the same workers may run. */
struct pools {
	size_t n;
	const struct job *first[POOLS_MAX];
};

static void cleanup_plan(struct room_plan **p)
{
	room_plan_free(*p);
}

#define auto_plan __attribute__((cleanup(cleanup_plan)))

static bool is_same_pool(const struct job *a, const struct job *b)
{
	return !strcmp(a->service, b->service) && !strcmp(a->label, b->label);
}

/* The bit of the job's pool; zero: there are too many. */
static uint32_t pool_of(struct pools *pools, const struct job *j)
{
	size_t i;

	for (i = 0; i < pools->n; i++)
		if (is_same_pool(pools->first[i], j))
			return UINT32_C(1) << i;
	if (pools->n == POOLS_MAX)
		return 0;
	pools->first[pools->n++] = j;
	return UINT32_C(1) << i;
}

static uint32_t pools_served(const struct pools *pools, const struct worker *w)
{
	uint32_t bits = 0;
	size_t i;

	for (i = 0; i < pools->n; i++)
		if (place_is_eligible(w, pools->first[i]))
			bits |= UINT32_C(1) << i;
	return bits;
}

/* When the worker may be given a task; INT64_MAX: this is not known. */
static int64_t usable_from(const struct drive *d, const struct worker *w,
			   int64_t now)
{
	int64_t at = w->full_until > now ? w->full_until : now;

	return worker_is_usable(d, w, at) ? at : INT64_MAX;
}

static double run_expected_ms(const struct drive *d, const struct worker *w,
			      const struct run *r, const struct job *j)
{
	if (r->state == RUN_RUNNING && r->fence && r->percent >= PERCENT_MIN)
		return (double)(r->percent_at - r->sent_at) * 100 / r->percent;
	return worker_expected_ms(d, w, j);
}

static int64_t run_expected_end(const struct drive *d, const struct worker *w,
				const struct run *r, int64_t now)
{
	const struct job *j = job_get(d, r->job);
	double expected_ms;
	int64_t end_at;

	if (!j || r->stopping)
		return now;
	expected_ms = run_expected_ms(d, w, r, j);
	end_at = r->sent_at + (int64_t)expected_ms;
	if (end_at > now)
		return end_at;
	return now + (int64_t)(expected_ms / OVERDUE_DIVISOR);
}

static uint32_t remaining(uint32_t total, uint32_t used)
{
	return total > used ? total - used : 0;
}

static void add_worker(struct room_plan *p, const struct drive *d,
		       const struct pools *pools, const struct worker *w,
		       int64_t now)
{
	int64_t from = usable_from(d, w, now), end_at;
	struct room_size size = {
		remaining(w->info.cpu_milli, w->used_cpu_milli),
		remaining(w->info.memory_mb, w->used_memory_mb),
		remaining(w->info.accelerators, w->used_accelerators),
		worker_free_slots(w),
	};
	uint32_t served = pools_served(pools, w);
	struct list *pos, *after;

	if (from == INT64_MAX || !served)
		return;
	room_plan_add_worker(p, served, &size, from, w->factor);
	LIST_EACH(pos, after, &w->runs)
	{
		const struct run *r = LIST_ITEM(pos, struct run, worker_link);

		size.cpu_milli = r->cpu_milli;
		size.memory_mb = r->memory_mb;
		size.accelerators = r->accelerators;
		size.slots = SLOTS_PER_TASK;
		end_at = run_expected_end(d, w, r, now);
		room_plan_add_run(p, &size, end_at > from ? end_at : from);
	}
}

static struct room_plan *plan_new(const struct drive *d,
				  const struct pools *pools, int64_t now)
{
	struct room_plan *p = room_plan_new(d->workers.used);
	const struct worker *w;
	uint64_t handle;
	uint32_t pos = 0;

	while ((w = table_next(&d->workers, &pos, &handle)))
		add_worker(p, d, pools, w, now);
	return p;
}

static struct room_job room_job_of(struct pools *pools, const struct job *j)
{
	return (struct room_job){
		.pool = pool_of(pools, j),
		.n_tasks = queue_count_waiting(j),
		.per_worker_max = j->per_worker_max,
		.size = {j->cpu_milli, j->memory_mb, j->accelerators,
			 SLOTS_PER_TASK},
		.run_ms = job_expected_ms(j),
	};
}

/* `first` is planned for. */
static void collect_pools(struct pools *pools, const struct drive *d,
			  const struct job *first)
{
	struct list *pos, *after;

	pools->n = 0;
	pool_of(pools, first);
	LIST_EACH(pos, after, &d->queue)
	pool_of(pools, LIST_ITEM(pos, struct job, queue_link));
}

/* What more urgent jobs will start. */
static size_t collect_surges(const struct drive *d, const struct job *j,
			     struct room_surge *surges, int64_t now)
{
	size_t i, n = 0;

	for (i = 0; i < START_RATES && i < j->priority; i++) {
		surges[n] = start_rate_surge(&d->start_rates[i], now);
		surges[n++].cpu_milli_per_ms *= surge_share;
	}
	return n;
}

static double task_core_ms(const struct job *j)
{
	return j->cpu_milli * job_expected_ms(j) / 1000;
}

void room_count_job(struct drive *d, struct job *j, int64_t now)
{
	j->account = fair_share_find(&d->shares, j->priority, j->run_time,
				     j->domain);
	fair_share_ask(&d->shares, j->account, j->n_tasks * task_core_ms(j),
		       now);
}

void room_count_start(struct drive *d, const struct job *j, int64_t now)
{
	size_t i = j->priority < START_RATES ? j->priority : START_RATES - 1;

	fair_share_get(&d->shares, j->account, task_core_ms(j), now);
	start_rate_add(&d->start_rates[i], now, j->cpu_milli,
		       job_expected_ms(j));
}

int64_t room_expected_start(const struct drive *d, const struct job *j,
			    int64_t now)
{
	struct room_surge surges[START_RATES];
	struct list *pos, *after;
	struct room_job needs;
	struct pools pools;
	auto_plan struct room_plan *p = NULL;
	size_t n;

	collect_pools(&pools, d, j);
	p = plan_new(d, &pools, now);
	LIST_EACH(pos, after, &d->queue)
	{
		const struct job *other = LIST_ITEM(pos, struct job,
						    queue_link);

		if (other == j)
			break;
		needs = room_job_of(&pools, other);
		room_plan_place(p, &needs);
	}
	needs = room_job_of(&pools, j);
	n = collect_surges(d, j, surges, now);
	return room_plan_expect(p, &needs, surges, n, j->latest_start_at);
}

static bool is_hopeless(const struct job *j, int64_t start_at)
{
	if (j->has_begun || start_at == INT64_MAX)
		return false;
	return start_at > j->latest_start_at + REVIEW_MARGIN_MS;
}

/*
 * Returns the first waiting job that can't be in time, or NULL. Without any
 * usable worker nothing is known: they may be back in time.
 */
static struct job *find_hopeless(const struct drive *d, int64_t *start_at,
				 int64_t now)
{
	auto_plan struct room_plan *p = NULL;
	struct list *pos, *after;
	struct room_job needs;
	struct pools pools;

	collect_pools(&pools, d,
		      LIST_ITEM(d->queue.next, struct job, queue_link));
	p = plan_new(d, &pools, now);
	LIST_EACH(pos, after, &d->queue)
	{
		struct job *j = LIST_ITEM(pos, struct job, queue_link);

		needs = room_job_of(&pools, j);
		*start_at = room_plan_place(p, &needs);
		if (is_hopeless(j, *start_at) && needs.pool &&
		    queue_may_start(d, j, now))
			return j;
	}
	return NULL;
}

void room_renew_plans(struct drive *d)
{
	d->looks_left = LOOKS_PER_TICK;
	d->refused_like = (struct refused_job){0};
}

static int64_t plan_looks(const struct drive *d)
{
	return (int64_t)d->workers.used * (int64_t)(d->jobs.used + 1);
}

bool room_take_plan(struct drive *d)
{
	if (d->looks_left <= 0)
		return false;
	d->looks_left -= plan_looks(d);
	return true;
}

void room_note_refused(struct drive *d, const struct job *j)
{
	d->refused_like = (struct refused_job){
		.is_set = true,
		.priority = j->priority,
		.n_tasks = j->n_tasks,
		.cpu_milli = j->cpu_milli,
		.latest_start_at = j->latest_start_at,
	};
}

/* Within a priority wider jobs begin first, so only equally wide ones compare. */
bool room_was_refused_like(const struct drive *d, const struct job *j)
{
	const struct refused_job *r = &d->refused_like;

	if (!r->is_set || j->cpu_milli < r->cpu_milli ||
	    j->latest_start_at > r->latest_start_at)
		return false;
	if (j->priority == r->priority)
		return j->n_tasks == r->n_tasks;
	return j->priority > r->priority && j->n_tasks >= r->n_tasks;
}

static void refuse_hopeless(struct drive *d, struct job *j, int64_t start_at,
			    int64_t now)
{
	d->counts.refused_room_lost++;
	log_info("job_room_lost", LOG_S("job", j->id),
		 LOG_I("expected_in_ms", start_at - now),
		 LOG_I("to_latest_start_ms", j->latest_start_at - now));
	job_end(d, j, DRIVE_REFUSED, LOST_RETRY_MS, "room_was_lost", now);
}

void room_review(struct drive *d, int64_t now)
{
	struct job *j;
	int64_t start_at;
	int i;

	for (i = 0; i < REFUSALS_PER_REVIEW && !list_empty(&d->queue); i++) {
		if (!room_take_plan(d))
			return;
		j = find_hopeless(d, &start_at, now);
		if (!j)
			return;
		refuse_hopeless(d, j, start_at, now);
	}
}
