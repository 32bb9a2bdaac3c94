/* Injects random faults from the outside, in series that overlap. */
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "soak.h"

enum {
	INTERVAL_MAX_MS = 250, /* between two faults */
	STORE_INTERVAL_MAX_MS = 6000, /* the same, of the store alone */
	LATE_INTERVAL_MAX_MS = 4000, /* between two changes of late orders */
	LATE_PERCENT_MAX = 15, /* of all orders */
	RESTART_MAX_MS = 2500,
	PAUSE_MAX_MS = 2500,
	DISTURB_MAX_MS = 3000,
	DELAY_MAX_MS = 300,
	ROLL_GAP_MS = 400, /* between the stops of a rolling restart */
	LONG_RUN_MS = 700,
	USUAL_RUN_MS = 60
};

static struct soak_instance *random_instance(struct soak *s)
{
	return &s->instances[rng_below(&s->rng, (uint64_t)s->n_instances)];
}

static int64_t random_ms(struct soak *s, int64_t max)
{
	return 20 + (int64_t)rng_below(&s->rng, (uint64_t)max);
}

static void kill_instance(struct soak *s, struct soak_instance *i)
{
	soak_signal(&i->process, SIGKILL);
	i->continue_at = 0;
	i->start_at = proxy_now_ms() + random_ms(s, RESTART_MAX_MS);
}

static void stop_instance(struct soak *s, struct soak_instance *i,
			  int64_t restart_after_ms)
{
	soak_signal(&i->process, SIGTERM);
	i->start_at = proxy_now_ms() + restart_after_ms;
}

static void pause_instance(struct soak *s)
{
	struct soak_instance *i = random_instance(s);

	if (!i->process.pid || i->continue_at)
		return;
	soak_signal(&i->process, SIGSTOP);
	i->continue_at = proxy_now_ms() + random_ms(s, PAUSE_MAX_MS);
}

static void kill_all(struct soak *s)
{
	int k;

	for (k = 0; k < s->n_instances; k++)
		kill_instance(s, &s->instances[k]);
}

static void roll_all(struct soak *s)
{
	int k;

	for (k = 0; k < s->n_instances; k++)
		if (!s->instances[k].start_at)
			stop_instance(s, &s->instances[k],
				      (k + 1) * ROLL_GAP_MS);
}

static void disturb(struct soak *s, struct proxy *p)
{
	static const enum proxy_mode modes[] = {PROXY_SILENT, PROXY_NO_ANSWERS,
						PROXY_DELAY, PROXY_DELAY};
	uint64_t k = rng_below(&s->rng, sizeof(modes) / sizeof(*modes) + 1);
	int64_t ms;

	if (k == sizeof(modes) / sizeof(*modes)) {
		proxy_reset(p);
		return;
	}
	ms = random_ms(s, DISTURB_MAX_MS);
	proxy_disturb(p, modes[k], random_ms(s, DELAY_MAX_MS), ms);
}

static void set_store_down(struct soak *s, bool down)
{
	s->store_is_down = down;
	soak_set_knob(s, "down", down);
}

static void set_store_silent(struct soak *s, bool silent)
{
	s->store_is_silent = silent;
	soak_set_knob(s, "silent", silent);
}

/*
 * Workers leave a share of all orders, or of the stops, unanswered and carry
 * them out seconds later, in a series beside that of the other faults.
 */
static void change_late_orders(struct soak *s, int64_t now)
{
	uint64_t kind = rng_below(&s->late_rng, 3);
	uint64_t percent = rng_below(&s->late_rng, 101);

	s->next_late_at = now + 20 +
			  (int64_t)rng_below(&s->late_rng,
					     LATE_INTERVAL_MAX_MS);
	soak_set_knob(s, "late_percent",
		      kind == 1 ? (long)(percent * LATE_PERCENT_MAX / 100) : 0);
	soak_set_knob(s, "late_stops_percent", kind == 2 ? (long)percent : 0);
}

/* Troubles of the store alone leave the instances to be checked. */
static void inject_store_fault(struct soak *s)
{
	uint64_t k = rng_below(&s->rng, 100);

	s->n_faults++;
	if (k < 45)
		set_store_silent(s, !s->store_is_silent);
	else if (k < 60)
		set_store_down(s, !s->store_is_down);
	else if (k < 75)
		soak_set_knob(s, "deaf", (long)rng_below(&s->rng, 2));
	else
		disturb(s, &random_instance(s)->store);
}

static void inject_one(struct soak *s)
{
	struct soak_instance *i = random_instance(s);
	uint64_t k = rng_below(&s->rng, 100);

	s->n_faults++;
	if (k < 12)
		kill_instance(s, i);
	else if (k < 22)
		stop_instance(s, i, random_ms(s, RESTART_MAX_MS));
	else if (k < 42)
		pause_instance(s);
	else if (k < 48)
		soak_signal(&i->process, SIGHUP);
	else if (k < 60)
		disturb(s, &i->store);
	else if (k < 72)
		disturb(s, &i->callers);
	else if (k < 90)
		disturb(s, &s->workers[rng_below(&s->rng,
						 (uint64_t)s->n_workers)]);
	else if (k < 92)
		set_store_down(s, rng_below(&s->rng, 2));
	else if (k < 94)
		set_store_silent(s, !s->store_is_silent);
	else if (k < 95)
		soak_set_knob(s, "deaf", (long)rng_below(&s->rng, 2));
	else if (k < 97)
		soak_set_knob(s, "run_ms",
			      rng_below(&s->rng, 2) ? LONG_RUN_MS
						    : USUAL_RUN_MS);
	else if (k < 99)
		roll_all(s);
	else
		kill_all(s);
}

static void tick_instance(struct soak *s, struct soak_instance *i, int64_t now)
{
	if (i->continue_at && now >= i->continue_at) {
		i->continue_at = 0;
		soak_signal(&i->process, SIGCONT);
	}
	if (i->start_at && now >= i->start_at && !i->process.pid) {
		i->settings_version++;
		soak_start_instance(s, i);
	}
}

void soak_faults_tick(struct soak *s, int64_t now)
{
	int k;

	for (k = 0; k < s->n_instances; k++)
		tick_instance(s, &s->instances[k], now);
	if (!s->calm && !s->only_store && now >= s->next_late_at)
		change_late_orders(s, now);
	if (s->calm || now < s->next_fault_at)
		return;
	s->next_fault_at = now + random_ms(s, s->only_store
						      ? STORE_INTERVAL_MAX_MS
						      : INTERVAL_MAX_MS);
	if (s->only_store)
		inject_store_fault(s);
	else
		inject_one(s);
}

void soak_heal(struct soak *s)
{
	int64_t now = proxy_now_ms();
	int k;

	s->calm = true;
	set_store_down(s, false);
	set_store_silent(s, false);
	soak_set_knob(s, "deaf", 0);
	soak_set_knob(s, "run_ms", USUAL_RUN_MS);
	soak_set_knob(s, "late_percent", 0);
	soak_set_knob(s, "late_stops_percent", 0);
	for (k = 0; k < s->n_workers; k++)
		s->workers[k].mode = PROXY_PASS;
	for (k = 0; k < s->n_instances; k++) {
		struct soak_instance *i = &s->instances[k];

		i->callers.mode = i->store.mode = PROXY_PASS;
		if (i->continue_at)
			soak_signal(&i->process, SIGCONT);
		i->continue_at = 0;
		if (!i->process.pid || i->process.stop_sent_at)
			i->start_at = now;
	}
}
