/*
 * What the coordination costs, on the virtual clock: coord_bench idle,
 * claims, takeover or outage. Processor time includes the simulation's own.
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "cpu_time.h"
#include "sim/coord_sim.h"
#include "util/log.h"

enum {
	HEARTBEAT_MS = 200, /* the settings' defaults */
	SUSPECT_MS = 1500,
	FRAME_BYTES = 20, /* length and authenticator of a frame */
	IDLE_MS = 60000,
	JOBS = 20000,
	TAKEOVER_RUNS = 20,
	STEP_MS = 10
};

static struct coord_sim s;

static void boot(uint64_t seed, int n)
{
	int i;

	coord_sim_init(&s, seed, n);
	s.keeps_addr = true;
	s.heartbeat_ms = HEARTBEAT_MS;
	s.suspect_ms = SUSPECT_MS;
	for (i = 0; i < n; i++)
		coord_sim_start(&s, i);
	coord_sim_run(&s, 20000);
	if (!coord_sim_is_settled(&s))
		printf("%d instances: not settled\n", n);
}

static struct coord_stats total(void)
{
	struct coord_stats t = {0};
	int i;

	for (i = 0; i < s.n_nodes; i++) {
		const struct coord_stats *st;

		if (!s.nodes[i].coord)
			continue;
		st = &s.nodes[i].coord->stats;
		t.heartbeats += st->heartbeats;
		t.heartbeat_bytes += st->heartbeat_bytes;
		t.map_msgs += st->map_msgs;
		t.map_bytes += st->map_bytes;
		t.claim_msgs += st->claim_msgs;
		t.claim_bytes += st->claim_bytes;
		t.copy_msgs += st->copy_msgs;
		t.copy_bytes += st->copy_bytes;
		t.store_gets += st->store_gets;
		t.store_writes += st->store_writes;
		t.store_watches += st->store_watches;
		t.map_changes += st->map_changes;
	}
	return t;
}

static void idle_one(int n)
{
	struct coord_stats a, b;
	double cpu, per, beats, bytes;
	uint64_t reads;

	boot(1, n);
	a = total();
	cpu = cpu_s();
	coord_sim_run(&s, IDLE_MS);
	cpu = cpu_s() - cpu;
	b = total();
	per = n * (IDLE_MS / 1000.0);
	beats = (double)(b.heartbeats - a.heartbeats) / per;
	bytes = (double)(b.heartbeat_bytes - a.heartbeat_bytes) / per;
	reads = b.store_gets + b.store_watches - a.store_gets - a.store_watches;
	printf("%4d %10.1f %10.0f %10.0f %10.0f %9.3f%% %10.1f\n", n, beats,
	       bytes, bytes + beats * FRAME_BYTES,
	       (double)(b.map_bytes - a.map_bytes) / per, cpu / per * 100,
	       (double)reads * 60000.0 / IDLE_MS);
	coord_sim_free(&s);
}

/* One instance is replaced by a new one; what the whole domain sends. */
static void replace_one(int n)
{
	struct coord_stats a, b;
	uint64_t reads, writes;

	boot(1, n);
	a = total();
	reads = s.store.reads;
	writes = s.store.writes;
	s.n_nodes = n + 1;
	syc_coord_leave(s.nodes[0].coord, s.now);
	coord_sim_start(&s, n);
	coord_sim_run(&s, 60000);
	b = total();
	printf("%4d %8llu %12llu %12llu %10llu %10llu\n", n,
	       (unsigned long long)(b.map_changes - a.map_changes),
	       (unsigned long long)(b.map_bytes - a.map_bytes),
	       (unsigned long long)(b.copy_bytes - a.copy_bytes),
	       (unsigned long long)(s.store.reads - reads),
	       (unsigned long long)(s.store.writes - writes));
	coord_sim_free(&s);
}

/* All instances end and start again at their addresses. */
static void restart_all(int n)
{
	uint64_t reads, writes;
	int64_t begun;
	int i;

	boot(1, n);
	reads = s.store.reads;
	writes = s.store.writes;
	for (i = 0; i < n; i++)
		coord_sim_kill(&s, i);
	for (i = 0; i < n; i++)
		coord_sim_start(&s, i);
	begun = s.now;
	while (!coord_sim_is_settled(&s) && s.now - begun < 60000)
		coord_sim_run(&s, STEP_MS);
	printf("%4d %8lld %8llu %8llu\n", n, (long long)(s.now - begun),
	       (unsigned long long)(s.store.reads - reads),
	       (unsigned long long)(s.store.writes - writes));
	coord_sim_free(&s);
}

static void idle(void)
{
	static const int sizes[] = {4, 8, 16, 24, 32, 64};
	size_t i;

	printf("instances; each sends heartbeats/s, bytes/s, with frames, "
	       "map bytes/s; processor; domain: store reads/min\n");
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		idle_one(sizes[i]);
	printf("one instance replaced: map changes, map bytes, copy bytes, "
	       "store reads, writes\n");
	for (i = 0; i < 5; i++)
		replace_one(sizes[i]);
	printf("all instances restarted at once: ms until settled, store "
	       "reads, writes\n");
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		restart_all(sizes[i]);
}

static void claims(void)
{
	struct coord_stats a, b;
	struct mallinfo2 m0, m1;
	struct syc_claim_key key;
	struct index_key ix;
	struct syc_claim_result res;
	uint8_t digest[SYC_DIGEST_LEN] = {0};
	uint64_t i, n = 0;
	double cpu;

	boot(1, 2);
	s.delay_max_ms = 0;
	a = total();
	m0 = mallinfo2();
	cpu = cpu_s();
	for (i = 0; n < JOBS; i++) {
		struct syc_coord *c = s.nodes[0].coord;

		ix = index_hash_number(i);
		memcpy(&key, &ix, sizeof(key));
		if (!syc_coord_is_primary(c, &key))
			continue;
		memcpy(&s.keys[0].key, &key, sizeof(key));
		s.keys[0].starts = 0;
		s.keys[0].pending++;
		res = syc_coord_claim(c, s.now, &key, digest, 0);
		coord_sim_run(&s, 1);
		if (res.decision == SYC_DECISION_PENDING &&
		    s.keys[0].starts == 1)
			syc_coord_end_claim(c, s.now, &key, SYC_COMPLETED);
		n++;
	}
	coord_sim_run(&s, 5000);
	cpu = cpu_s() - cpu;
	m1 = mallinfo2();
	b = total();
	printf("claims held: %u and %u; runs %llu of %d\n",
	       s.nodes[0].coord->claims.table.used,
	       s.nodes[1].coord->claims.table.used, (unsigned long long)s.runs,
	       JOBS);
	printf("per job: %.3f messages, %.1f bytes, %.1f us processor at both "
	       "ends\n",
	       (double)(b.claim_msgs - a.claim_msgs) / JOBS,
	       (double)(b.claim_bytes - a.claim_bytes) / JOBS,
	       cpu / JOBS * 1e6);
	printf("memory per claim and holder: %.1f bytes (struct %zu)\n",
	       (double)(m1.uordblks - m0.uordblks) / 2 / JOBS,
	       sizeof(struct claim));
	coord_sim_free(&s);
}

/* From the crash until all slices of the dead instance are served again. */
static int64_t takeover_one(uint64_t seed, int n)
{
	uint64_t dead;
	int64_t at, crash;
	unsigned k, left = 1;

	boot(seed, n);
	coord_sim_run(&s, (int64_t)rng_below(&s.rng, 1000));
	dead = s.nodes[0].inst.id;
	coord_sim_kill(&s, 0);
	crash = s.now;
	for (at = 0; left && at < 20000; at += STEP_MS) {
		coord_sim_run(&s, STEP_MS);
		left = 0;
		for (k = 0; k < SYC_SLICES; k++)
			left += s.nodes[1].coord->map.slices[k].primary ==
					dead ||
				s.nodes[1].coord->map.slices[k].backup == dead;
	}
	at = s.now - crash;
	coord_sim_free(&s);
	return at;
}

static void takeover(void)
{
	static const int sizes[] = {2, 4, 8, 24};
	int64_t ms, sum, worst;
	size_t i;
	int run;

	printf("instances, takeover ms mean and worst of %d crashes "
	       "(heartbeat %d ms, suspicion %d ms)\n",
	       TAKEOVER_RUNS, HEARTBEAT_MS, SUSPECT_MS);
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		sum = worst = 0;
		for (run = 0; run < TAKEOVER_RUNS; run++) {
			ms = takeover_one((uint64_t)run + 1, sizes[i]);
			sum += ms;
			worst = ms > worst ? ms : worst;
		}
		printf("%4d %8lld %8lld\n", sizes[i],
		       (long long)(sum / TAKEOVER_RUNS), (long long)worst);
	}
}

/* One crash while the store is down: what share of new keys runs. */
static void outage_one(int n)
{
	unsigned k, started = 0, refused = 0;

	boot(1, n);
	s.store.down = true;
	coord_sim_run(&s, 5000);
	coord_sim_kill(&s, 0);
	coord_sim_run(&s, 10000);
	for (k = 0; k < s.n_keys; k++)
		coord_sim_submit(&s, 1 + (int)(k % (unsigned)(n - 1)), k);
	coord_sim_run(&s, 10000);
	for (k = 0; k < s.n_keys; k++) {
		started += s.keys[k].starts;
		refused += s.keys[k].refusals > 0;
	}
	printf("%4d %8.1f%% %8.1f%% %8u\n", n, started * 100.0 / s.n_keys,
	       refused * 100.0 / s.n_keys, s.false_not_run);
	coord_sim_free(&s);
}

static void outage(void)
{
	static const int sizes[] = {2, 4, 8, 16, 24};
	size_t i;

	printf("instances, keys started, refused, untrue refusals: one crash "
	       "while the store is down\n");
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		outage_one(sizes[i]);
}

int main(int argc, char **argv)
{
	struct log_options log = {.fd = 2, .level = LOG_ERROR};
	const char *what = argc > 1 ? argv[1] : "";

	log_init(&log);
	memset(&s.rules, true, sizeof(s.rules));
	if (!strcmp(what, "idle"))
		idle();
	else if (!strcmp(what, "claims"))
		claims();
	else if (!strcmp(what, "takeover"))
		takeover();
	else if (!strcmp(what, "outage"))
		outage();
	else
		return 2;
	return 0;
}
