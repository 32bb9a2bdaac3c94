#include "transport/loop_turns.h"

/* The longest turns of the current slot and of the one before are kept. */
static const double slot_s = 0.1;

static void on_wait_ended(struct ev_loop *loop, ev_check *w, int revents)
{
	struct loop_turns *t = w->data;

	t->began_at = ev_now(loop);
}

static void begin_slot(struct loop_turns *t, double now)
{
	bool is_next = now - t->slot_at < 2 * slot_s;

	t->longest_before_ms = is_next ? t->longest_ms : 0;
	t->longest_ms = 0;
	t->slot_at = now;
}

static void on_wait_begins(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct loop_turns *t = w->data;
	double now = ev_time();
	double ms = (now - t->began_at) * 1000;

	if (!t->began_at)
		return;
	histogram_add(&t->durations, (int64_t)ms);
	if (now - t->slot_at >= slot_s)
		begin_slot(t, now);
	if (ms > t->longest_ms)
		t->longest_ms = ms;
}

void loop_turns_start(struct loop_turns *t, struct ev_loop *loop)
{
	*t = (struct loop_turns){.loop = loop};
	ev_check_init(&t->wait_ended, on_wait_ended);
	ev_prepare_init(&t->wait_begins, on_wait_begins);
	ev_set_priority(&t->wait_ended, EV_MAXPRI);
	/* The other prepare watchers deliver messages, which is work. */
	ev_set_priority(&t->wait_begins, EV_MINPRI);
	t->wait_ended.data = t->wait_begins.data = t;
	ev_check_start(loop, &t->wait_ended);
	ev_prepare_start(loop, &t->wait_begins);
}

void loop_turns_stop(struct loop_turns *t)
{
	if (!t->loop)
		return;
	ev_check_stop(t->loop, &t->wait_ended);
	ev_prepare_stop(t->loop, &t->wait_begins);
}

uint32_t loop_turns_longest_ms(const struct loop_turns *t)
{
	double ms = t->longest_ms > t->longest_before_ms ? t->longest_ms
							 : t->longest_before_ms;

	return ms > 0 ? (uint32_t)ms : 0;
}
