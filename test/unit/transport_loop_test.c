/* Tests how the turns of an event loop are measured. */
#include <unistd.h>

#include "transport/loop_turns.h"
#include "transport_help.h"
#include "unit.h"

enum { BUSY_MS = 30 };

static void on_busy(struct ev_loop *loop, ev_timer *w, int revents)
{
	usleep(BUSY_MS * 1000);
}

static uint64_t count_turns(const struct histogram *h)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i <= HISTOGRAM_BUCKETS; i++)
		n += h->counts[i];
	return n;
}

static void long_turn_is_reported_for_a_while(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct loop_turns turns;
	ev_timer busy;

	loop_turns_start(&turns, loop);
	ev_timer_init(&busy, on_busy, 0.12, 0);
	ev_timer_start(loop, &busy);
	run_a_while(loop);
	CU_ASSERT(loop_turns_longest_ms(&turns) >= BUSY_MS - 1);
	CU_ASSERT(count_turns(&turns.durations) > 1);
	run_a_while(loop);
	run_a_while(loop);
	CU_ASSERT(loop_turns_longest_ms(&turns) < BUSY_MS - 1);
	loop_turns_stop(&turns);
	ev_loop_destroy(loop);
}

SUITE(transport_loop)
{
	TEST(long_turn_is_reported_for_a_while);
}
