/*
 * Measures the cost of the coordination on a virtual clock. Processor time
 * includes that of the simulation itself.
 *
 *	coord_bench idle|claims|takeover|outage
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "cpu_time.h"
#include "sim/coord_sim.h"
#include "util/log.h"

enum {
	HEARTBEAT_MS = 200, /* default of the setting */
	SUSPECT_MS = 1500, /* default of the setting */
	FRAME_BYTES = 20, /* length and authenticator of a frame */
	SETTLE_MS = 20000,
	IDLE_MS = 60000,
	REPLACEMENT_MS = 60000,
	RESTART_MAX_MS = 60000,
	TAKEOVER_MAX_MS = 20000,
	JOBS = 20000, /* of the mode claims */
	TAKEOVER_RUNS = 20,
	STEP_MS = 10 /* resolution of measured times */
};

static struct coord_sim sim;

static void start_domain(uint64_t seed, int n)
{
	int i;

	coord_sim_init(&sim, seed, n);
	sim.keeps_addr = true;
	sim.heartbeat_ms = HEARTBEAT_MS;
	sim.suspect_ms = SUSPECT_MS;
	for (i = 0; i < n; i++)
		coord_sim_start(&sim, i);
	coord_sim_run(&sim, SETTLE_MS);
	if (!coord_sim_is_settled(&sim))
		printf("%d instances: not settled after %d ms\n", n, SETTLE_MS);
}

static struct coord_stats sum_stats(void)
{
	struct coord_stats sum = {0};
	int i;

	for (i = 0; i < sim.n_nodes; i++) {
		const struct coord_stats *stats;

		if (!sim.nodes[i].coord)
			continue;
		stats = &sim.nodes[i].coord->stats;
		sum.heartbeats += stats->heartbeats;
		sum.heartbeat_bytes += stats->heartbeat_bytes;
		sum.map_msgs += stats->map_msgs;
		sum.map_bytes += stats->map_bytes;
		sum.claim_msgs += stats->claim_msgs;
		sum.claim_bytes += stats->claim_bytes;
		sum.copy_msgs += stats->copy_msgs;
		sum.copy_bytes += stats->copy_bytes;
		sum.store_gets += stats->store_gets;
		sum.store_writes += stats->store_writes;
		sum.store_watches += stats->store_watches;
		sum.map_changes += stats->map_changes;
	}
	return sum;
}

static void measure_idle(int n)
{
	struct coord_stats before, after;
	double cpu_used_s, instance_s, heartbeats, bytes;
	uint64_t reads;

	start_domain(1, n);
	before = sum_stats();
	cpu_used_s = cpu_s();
	coord_sim_run(&sim, IDLE_MS);
	cpu_used_s = cpu_s() - cpu_used_s;
	after = sum_stats();
	instance_s = n * (IDLE_MS / 1000.0);
	heartbeats = (double)(after.heartbeats - before.heartbeats) /
		     instance_s;
	bytes = (double)(after.heartbeat_bytes - before.heartbeat_bytes) /
		instance_s;
	reads = after.store_gets + after.store_watches - before.store_gets -
		before.store_watches;
	printf("%4d %10.1f %10.0f %10.0f %10.0f %9.3f%% %10.1f\n", n,
	       heartbeats, bytes, bytes + heartbeats * FRAME_BYTES,
	       (double)(after.map_bytes - before.map_bytes) / instance_s,
	       cpu_used_s / instance_s * 100,
	       (double)reads * 60000.0 / IDLE_MS);
	coord_sim_free(&sim);
}

/*
 * Replaces one instance by a new one and prints what the whole domain sends
 * for it.
 */
static void measure_replacement(int n)
{
	struct coord_stats before, after;
	uint64_t reads, writes;

	start_domain(1, n);
	before = sum_stats();
	reads = sim.store.reads;
	writes = sim.store.writes;
	sim.n_nodes = n + 1;
	syc_coord_leave(sim.nodes[0].coord, sim.now);
	coord_sim_start(&sim, n);
	coord_sim_run(&sim, REPLACEMENT_MS);
	after = sum_stats();
	printf("%4d %8llu %12llu %12llu %10llu %10llu\n", n,
	       (unsigned long long)(after.map_changes - before.map_changes),
	       (unsigned long long)(after.map_bytes - before.map_bytes),
	       (unsigned long long)(after.copy_bytes - before.copy_bytes),
	       (unsigned long long)(sim.store.reads - reads),
	       (unsigned long long)(sim.store.writes - writes));
	coord_sim_free(&sim);
}

/*
 * Crashes all instances at once, starts them again at the same addresses and
 * prints the time until the domain is settled.
 */
static void measure_restart(int n)
{
	uint64_t reads, writes;
	int64_t begin_at;
	int i;

	start_domain(1, n);
	reads = sim.store.reads;
	writes = sim.store.writes;
	for (i = 0; i < n; i++)
		coord_sim_kill(&sim, i);
	for (i = 0; i < n; i++)
		coord_sim_start(&sim, i);
	begin_at = sim.now;
	while (!coord_sim_is_settled(&sim) &&
	       sim.now - begin_at < RESTART_MAX_MS)
		coord_sim_run(&sim, STEP_MS);
	printf("%4d %8lld %8llu %8llu\n", n, (long long)(sim.now - begin_at),
	       (unsigned long long)(sim.store.reads - reads),
	       (unsigned long long)(sim.store.writes - writes));
	coord_sim_free(&sim);
}

static void report_idle(void)
{
	static const int sizes[] = {4, 8, 16, 24, 32, 64};
	size_t i;

	printf("instances; per instance: heartbeats/s, bytes/s, bytes/s with "
	       "frames, map bytes/s, processor; per domain: store reads/min\n");
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		measure_idle(sizes[i]);
	printf("one instance replaced: instances, map changes, map bytes, "
	       "copy bytes, store reads, writes\n");
	for (i = 0; i < 5; i++)
		measure_replacement(sizes[i]);
	printf("all instances restarted at once: instances, ms until settled, "
	       "store reads, writes\n");
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		measure_restart(sizes[i]);
}

static void report_claims(void)
{
	struct coord_stats before, after;
	struct mallinfo2 memory_before, memory_after;
	struct syc_claim_key key;
	struct index_key index;
	struct syc_claim_result result;
	uint8_t digest[SYC_DIGEST_LEN] = {0};
	uint64_t i, n = 0;
	double cpu_used_s;

	start_domain(1, 2);
	sim.delay_max_ms = 0;
	before = sum_stats();
	memory_before = mallinfo2();
	cpu_used_s = cpu_s();
	for (i = 0; n < JOBS; i++) {
		struct syc_coord *c = sim.nodes[0].coord;

		index = index_hash_number(i);
		memcpy(&key, &index, sizeof(key));
		if (!syc_coord_is_primary(c, &key))
			continue;
		memcpy(&sim.keys[0].key, &key, sizeof(key));
		sim.keys[0].starts = 0;
		sim.keys[0].pending++;
		result = syc_coord_claim(c, sim.now, &key, digest, 0);
		coord_sim_run(&sim, 1);
		if (result.decision == SYC_DECISION_PENDING &&
		    sim.keys[0].starts == 1)
			syc_coord_end_claim(c, sim.now, &key, SYC_COMPLETED);
		n++;
	}
	coord_sim_run(&sim, 5000);
	cpu_used_s = cpu_s() - cpu_used_s;
	memory_after = mallinfo2();
	after = sum_stats();
	printf("claims held: %u and %u; runs %llu of %d\n",
	       sim.nodes[0].coord->claims.table.used,
	       sim.nodes[1].coord->claims.table.used,
	       (unsigned long long)sim.runs, JOBS);
	printf("per job: %.3f messages, %.1f bytes, %.1f us processor at both "
	       "ends\n",
	       (double)(after.claim_msgs - before.claim_msgs) / JOBS,
	       (double)(after.claim_bytes - before.claim_bytes) / JOBS,
	       cpu_used_s / JOBS * 1e6);
	printf("memory per claim and holder: %.1f bytes (struct %zu)\n",
	       (double)(memory_after.uordblks - memory_before.uordblks) / 2 /
		       JOBS,
	       sizeof(struct claim));
	coord_sim_free(&sim);
}

/*
 * Returns the time from a crash until all slices of the crashed instance have
 * another primary and backup in the map of instance 1.
 */
static int64_t measure_takeover_ms(uint64_t seed, int n)
{
	uint64_t crashed_id;
	int64_t waited_ms, crashed_at;
	unsigned k, slices_left = 1;

	start_domain(seed, n);
	coord_sim_run(&sim, (int64_t)rng_below(&sim.rng, 1000));
	crashed_id = sim.nodes[0].instance.id;
	coord_sim_kill(&sim, 0);
	crashed_at = sim.now;
	for (waited_ms = 0; slices_left && waited_ms < TAKEOVER_MAX_MS;
	     waited_ms += STEP_MS) {
		coord_sim_run(&sim, STEP_MS);
		slices_left = 0;
		for (k = 0; k < SYC_SLICES; k++)
			slices_left +=
				sim.nodes[1].coord->map.slices[k].primary ==
					crashed_id ||
				sim.nodes[1].coord->map.slices[k].backup ==
					crashed_id;
	}
	waited_ms = sim.now - crashed_at;
	coord_sim_free(&sim);
	return waited_ms;
}

static void report_takeover(void)
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
			ms = measure_takeover_ms((uint64_t)run + 1, sizes[i]);
			sum += ms;
			worst = ms > worst ? ms : worst;
		}
		printf("%4d %8lld %8lld\n", sizes[i],
		       (long long)(sum / TAKEOVER_RUNS), (long long)worst);
	}
}

/*
 * Crashes one instance while the store is down. Prints the shares of new keys
 * that start and that are refused, and the number of untrue refusals, those
 * that answer "not run" for a key that did start.
 */
static void measure_outage(int n)
{
	unsigned k, started = 0, refused = 0;

	start_domain(1, n);
	sim.store.down = true;
	coord_sim_run(&sim, 5000);
	coord_sim_kill(&sim, 0);
	coord_sim_run(&sim, 10000);
	for (k = 0; k < sim.n_keys; k++)
		coord_sim_submit(&sim, 1 + (int)(k % (unsigned)(n - 1)), k);
	coord_sim_run(&sim, 10000);
	for (k = 0; k < sim.n_keys; k++) {
		started += sim.keys[k].starts;
		refused += sim.keys[k].refusals > 0;
	}
	printf("%4d %8.1f%% %8.1f%% %8u\n", n, started * 100.0 / sim.n_keys,
	       refused * 100.0 / sim.n_keys, sim.false_not_run);
	coord_sim_free(&sim);
}

static void report_outage(void)
{
	static const int sizes[] = {2, 4, 8, 16, 24};
	size_t i;

	printf("instances, keys started, refused, untrue refusals: one crash "
	       "while the store is down\n");
	for (i = 0; i < sizeof(sizes) / sizeof(*sizes); i++)
		measure_outage(sizes[i]);
}

int main(int argc, char **argv)
{
	struct log_options log = {.fd = 2, .level = LOG_ERROR};
	const char *mode = argc > 1 ? argv[1] : "";

	log_init(&log);
	memset(&sim.rules, true, sizeof(sim.rules));
	if (!strcmp(mode, "idle"))
		report_idle();
	else if (!strcmp(mode, "claims"))
		report_claims();
	else if (!strcmp(mode, "takeover"))
		report_takeover();
	else if (!strcmp(mode, "outage"))
		report_outage();
	else
		return 2;
	return 0;
}
