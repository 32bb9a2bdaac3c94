/*
 * fleet_soak BUILD FIRST LAST [SECONDS [INSTANCES]]: a soak of real processes
 * for each seed. Prints broken promises, and the command that repeats a seed;
 * its logs are kept.
 */
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak.h"
#include "util/alloc.h"
#include "util/invariant.h"
#include "util/log.h"

enum {
	SECONDS = 20,
	INSTANCES = 6,
	WORKERS_PER_INSTANCE = 2,
	CALLERS_PER_INSTANCE = 3,
	CONNS_PER_HOST = 16,
	TICK_MS = 5,
	START_MS = 3000, /* until the fleet serves its first jobs */
	/* A fleet whose members were all replaced serves after this time. */
	HEAL_MS = 9000,
	PROBE_MS = 1500,
	STOP_MS = 8000
};

void soak_violation(struct soak *s, const char *format, ...)
{
	va_list ap;

	s->n_violations++;
	printf("seed %llu: ", (unsigned long long)s->seed);
	va_start(ap, format);
	vprintf(format, ap);
	va_end(ap);
	putchar('\n');
}

static void on_time_over(struct ev_loop *loop, ev_timer *w, int revents)
{
	ev_break(loop, EVBREAK_ONE);
}

void soak_run(struct soak *s, int64_t ms)
{
	ev_timer timer;

	ev_timer_init(&timer, on_time_over, (double)ms / 1000, 0);
	ev_now_update(s->loop);
	ev_timer_start(s->loop, &timer);
	ev_run(s->loop, 0);
}

static void start_all(struct soak *s)
{
	int k;

	soak_start_platform(s);
	for (k = 0; k < s->n_instances; k++) {
		struct soak_instance *i = &s->instances[k];

		snprintf(i->process.name, sizeof(i->process.name), "i%d", k);
		i->process.soak = s;
		i->domain = k % SOAK_DOMAINS;
		soak_start_instance(s, i);
	}
	for (k = 0; k < s->n_callers; k++)
		s->callers[k].soak = s;
	soak_run(s, START_MS);
}

static void play(struct soak *s, int64_t ms)
{
	int64_t until = proxy_now_ms() + ms;

	while (proxy_now_ms() < until) {
		soak_callers_tick(s, proxy_now_ms());
		soak_faults_tick(s, proxy_now_ms());
		soak_config_tick(s, proxy_now_ms());
		soak_run(s, TICK_MS);
	}
}

/*
 * A completed job ran each task, a refused one ran none, and two workers crashed
 * under a task of a failed one.
 */
static void check_ended_jobs(struct soak *s)
{
	char path[SOAK_PATH_MAX + 32], line[128], id[SOAK_ID_MAX];
	char how[16];
	int n_tasks;
	long starts, done, crashes;
	FILE *f;

	snprintf(path, sizeof(path), "%s/ended", s->dir);
	f = fopen(path, "re");
	while (f && fgets(line, sizeof(line), f)) {
		if (sscanf(line, "%23s %15s %d", id, how, &n_tasks) != 3)
			continue;
		snprintf(path, sizeof(path), "/standin/job?id=%s", id);
		starts = soak_ask(s, "GET", path, "starts");
		done = soak_ask(s, "GET", path, "done");
		crashes = soak_ask(s, "GET", path, "crashes");
		if (!strcmp(how, "completed") && done != n_tasks)
			soak_violation(s, "job %s: 200, but %ld of %d done", id,
				       done, n_tasks);
		if (!strcmp(how, "failed") && crashes < 2)
			soak_violation(s, "job %s: failed after %ld crashes",
				       id, crashes);
		if (!strcmp(how, "refused") && starts > 0)
			soak_violation(s, "job %s: refused after %ld starts",
				       id, starts);
	}
	if (f)
		fclose(f);
}

static void check_end(struct soak *s)
{
	int unserved;
	long twice, twice_in_domain, over;

	soak_heal(s);
	play(s, HEAL_MS);
	unserved = soak_count_unserved(s, PROBE_MS);
	if (unserved)
		soak_violation(s, "%d of %d instances serve no job after it",
			       unserved, s->n_instances);
	twice = soak_ask(s, "GET", "/standin/counts", "twice");
	twice_in_domain = soak_ask(s, "GET", "/standin/counts",
				   "twice_in_domain");
	if (twice)
		soak_violation(s,
			       "%ld tasks had two runs at one time, %ld of "
			       "them both in one domain",
			       twice, twice_in_domain);
	over = soak_ask(s, "GET", "/standin/counts", "over_budget");
	if (over)
		soak_violation(s, "%ld starts of tasks that crash workers",
			       over);
	check_ended_jobs(s);
	s->n_late_orders = soak_ask(s, "GET", "/standin/counts", "late_orders");
}

static void stop_all(struct soak *s)
{
	int64_t until = proxy_now_ms() + STOP_MS;
	bool running = true;
	int k;

	for (k = 0; k < s->n_instances; k++) {
		s->instances[k].start_at = 0;
		soak_signal(&s->instances[k].process, SIGTERM);
	}
	while (running && proxy_now_ms() < until) {
		soak_run(s, 50);
		running = false;
		for (k = 0; k < s->n_instances; k++)
			running |= s->instances[k].process.pid != 0;
	}
	for (k = 0; k < s->n_instances; k++) {
		if (s->instances[k].process.pid)
			soak_violation(s, "i%d did not stop", k);
		soak_signal(&s->instances[k].process, SIGKILL);
	}
	soak_signal(&s->platform, SIGKILL);
	soak_run(s, 200);
}

static void close_all(struct soak *s)
{
	int k;

	http_client_free(s->client);
	for (k = 0; k < s->n_workers; k++)
		proxy_close(&s->workers[k]);
	for (k = 0; k < s->n_instances; k++) {
		proxy_close(&s->instances[k].callers);
		proxy_close(&s->instances[k].store);
	}
}

static void remove_dir(const char *dir)
{
	char command[SOAK_PATH_MAX + 16];

	snprintf(command, sizeof(command), "rm -rf '%s'", dir);
	if (system(command)) /* NOLINT(cert-env33-c) */
		printf("cannot remove %s\n", dir);
}

static unsigned run_seed(const char *build, uint64_t seed, int seconds,
			 int n_instances)
{
	struct http_client_options opt = {.conns_per_host = CONNS_PER_HOST,
					  .connect_ms = 1000};
	struct soak *s = xcalloc(1, sizeof(*s));
	unsigned n_violations;

	s->seed = s->rng.state = seed;
	s->late_rng.state = ~seed;
	s->build = build;
	s->loop = ev_default_loop(0);
	opt.loop = s->loop;
	s->client = http_client_new(&opt);
	s->divided = seed % 2;
	s->only_store = seed % 3 == 0;
	s->n_instances = n_instances;
	s->n_workers = n_instances * WORKERS_PER_INSTANCE;
	if (s->n_workers > SOAK_WORKERS_MAX)
		s->n_workers = SOAK_WORKERS_MAX;
	s->n_callers = n_instances * CALLERS_PER_INSTANCE;
	snprintf(s->dir, sizeof(s->dir), "%s",
		 getenv("TMPDIR") ? getenv("TMPDIR") : "/tmp");
	copy_text(s->dir + strlen(s->dir), sizeof(s->dir) - strlen(s->dir),
		  "/fleet-soak.XXXXXX");
	invariant(mkdtemp(s->dir));
	start_all(s);
	play(s, (int64_t)seconds * 1000);
	check_end(s);
	stop_all(s);
	printf("seed %llu: %d instances%s%s, %u faults, %ld late orders, "
	       "%u jobs: %u completed, %u failed, %u refused, %u unknown; "
	       "%u copies; %u configurations checked; %u violations\n",
	       (unsigned long long)seed, n_instances,
	       s->divided ? " in cells" : "",
	       s->only_store ? ", troubles of the store" : "", s->n_faults,
	       s->n_late_orders, s->n_jobs, s->n_completed, s->n_failed,
	       s->n_refused, s->n_unknown, s->n_copies, s->n_config_checks,
	       s->n_violations);
	if (s->n_violations)
		printf("  logs in %s; repeat: build/fleet_soak build %llu %llu "
		       "%d %d\n",
		       s->dir, (unsigned long long)seed,
		       (unsigned long long)seed, seconds, n_instances);
	else
		remove_dir(s->dir);
	fflush(stdout);
	close_all(s);
	n_violations = s->n_violations;
	free(s);
	return n_violations;
}

int main(int argc, char **argv)
{
	struct log_options log = {.fd = 2, .level = LOG_ERROR};
	uint64_t seed, last;
	int seconds, n_instances;
	unsigned n_violations = 0;

	if (argc < 4) {
		fputs("Usage: fleet_soak BUILD FIRST LAST [SECONDS "
		      "[INSTANCES]]\n",
		      stderr);
		return 2;
	}
	log_init(&log);
	signal(SIGPIPE, SIG_IGN);
	seed = strtoull(argv[2], NULL, 10);
	last = strtoull(argv[3], NULL, 10);
	seconds = argc > 4 ? (int)strtol(argv[4], NULL, 10) : SECONDS;
	n_instances = argc > 5 ? (int)strtol(argv[5], NULL, 10) : INSTANCES;
	if (n_instances < 1 || n_instances > SOAK_INSTANCES_MAX)
		return 2;
	for (; seed <= last; seed++)
		n_violations += run_seed(argv[1], seed, seconds, n_instances);
	return n_violations > 0;
}
