/*
 * The instance that took a job stands still. The client cancels the job at
 * another one, which acknowledges it. The first one wakes and hands the job
 * in again.
 */
#include <signal.h>
#include <stdio.h>

#include "../stage.h"

enum {
	WORK_MS = 25000,
	FREEZE_MS = 3500,
	CANCEL_MS = 3000,
	STOP_TIMEOUT_MS = 50,
	CONTACT_TIMEOUT_MS = 3000,
	N_JOBS = 6
};

static const char routes[] =
	"[{\"name\":\"jobs\",\"host\":\"shop.example\",\"prefix\":\"/jobs/\","
	"\"kind\":\"unsafe\",\"timeoutMs\":60000,\"targetLatencyMs\":60,"
	"\"priority\":1,\"service\":\"svc\",\"maxAttempts\":4,"
	"\"slackFactor\":1.6}]";

int main(void)
{
	struct stage_options opt = {
		.n_instances = 4, .n_workers = 12, .routes = routes};
	char id[N_JOBS][20], why[160], path[64];
	int64_t acked[N_JOBS], frozen_at;
	int driver, home, other, i, n, n_left = 0;

	stage_begin(&opt);
	driver = stage_driver();
	if (driver < 0)
		stage_end(STAGE_NOT_RUN, "no driver");
	home = (driver + 1) % opt.n_instances;
	other = (driver + 2) % opt.n_instances;
	for (i = 0; i < N_JOBS; i++) {
		snprintf(id[i], sizeof(id[i]), "%016x", 0xabc000 + i);
		stage_submit(home, id[i], 2, 1000, WORK_MS, 60000);
	}
	stage_wait(3500);
	frozen_at = stage_now();
	if (stage_has_trouble())
		stage_signal(home, SIGSTOP);
	for (i = 0; i < N_JOBS; i++) {
		struct request *r;

		stage_wait(500);
		snprintf(path, sizeof(path), "/jobs/%s", id[i]);
		r = stage_send(other, "DELETE", path, "", "");
		if (stage_await(r, 2000) != 200 && r->status != 410)
			stage_end(STAGE_NOT_RUN, "not acknowledged");
		acked[i] = r->done_at;
	}
	stage_wait(frozen_at + FREEZE_MS - stage_now());
	if (stage_has_trouble())
		stage_signal(home, SIGCONT);
	stage_wait(CONTACT_TIMEOUT_MS + CANCEL_MS + STOP_TIMEOUT_MS + 500);
	for (i = 0; i < N_JOBS; i++) {
		n = stage_count_running(id[i]);
		n_left += n > 0;
		stage_record("check: job %s, cancelling acknowledged %.3f s "
			     "ago, %d tasks at work",
			     id[i], (double)(stage_now() - acked[i]) / 1000, n);
	}
	snprintf(why, sizeof(why), "%d of %d cancelled jobs run", n_left,
		 N_JOBS);
	stage_end(n_left ? STAGE_BROKEN : STAGE_HELD, why);
}
