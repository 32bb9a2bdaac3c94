/*
 * A planned restart: the instance that took a request gets SIGTERM while the
 * job still waits for room. The channel ends without an answer.
 */
#include <signal.h>
#include <stdio.h>

#include "../stage.h"

enum {
	N_WORKERS = 4,
	FIRST_MS = 12000, /* the job that fills all workers */
	SECOND_MS = 14000,
	GRACE_MS = 6000 /* gracePeriodS */
};

int main(void)
{
	struct stage_options opt = {.n_instances = 8, .n_workers = N_WORKERS};
	struct request *first, *second;
	int driver, home, other;
	char why[160];
	int64_t term_at, begun_before;

	stage_begin(&opt);
	driver = stage_driver();
	if (driver < 0)
		stage_end(STAGE_NOT_RUN, "no driver");
	home = (driver + 1) % opt.n_instances;
	other = (driver + 2) % opt.n_instances;
	first = stage_submit(other, "00000000000000f1", 2 * N_WORKERS, 8000,
			     FIRST_MS, 60000);
	stage_wait(4500);
	second = stage_submit(home, "00000000000000f2", 2 * N_WORKERS, 8000,
			      SECOND_MS, 60000);
	stage_wait(500);
	if (second->status)
		stage_end(STAGE_NOT_RUN, "the second job does not wait");
	term_at = stage_now();
	if (stage_has_trouble())
		stage_signal(home, SIGTERM);
	stage_wait(GRACE_MS);
	if (stage_has_trouble())
		stage_signal(home, SIGKILL);
	begun_before = stage_count_started("00000000000000f2", 0, stage_now());
	if (second->status < 0) {
		snprintf(why, sizeof(why),
			 "the channel ended %.1f s after SIGTERM without an "
			 "answer; no task of the job had begun (%d)",
			 (double)(second->done_at - term_at) / 1000,
			 (int)begun_before);
		stage_end(STAGE_BROKEN, why);
	}
	stage_await(first, 30000);
	stage_await(second, 30000);
	if (second->status <= 0)
		stage_end(STAGE_BROKEN, "no answer");
	stage_end(STAGE_HELD, "answered");
}
