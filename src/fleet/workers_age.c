/*
 * Keeps the age of the list of workers: the time since the newest read was sent
 * that the store has answered with it, to this instance or to a driver that has
 * the same list. When a message brought the list says nothing of that.
 *
 * A driver that the store does not answer goes on with an old list. So the member
 * that would replace it reads the list itself, and a driver that begins with an
 * old list starts no task until it has read one, or the store does not answer.
 */
#include <string.h>

#include <xxhash.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"

enum {
	/* The list of a driver whose reads are answered is never so old. */
	STANDBY_AGE_MS = 1000,
	STANDBY_READ_INTERVAL_MS = 500,
	/* With the time of one read, below the 2 s that a worker drains for. */
	OLD_MS = 1500,
	/* A store that answers at all has answered by then. */
	AWAIT_MAX_MS = 300
};

static int64_t age_ms(const struct fleet *f, int64_t now)
{
	return f->workers_confirmed_at ? now - f->workers_confirmed_at
				       : INT64_MAX;
}

void workers_confirm(struct fleet *f, int64_t at)
{
	if (at > f->workers_confirmed_at)
		f->workers_confirmed_at = at;
}

uint64_t workers_told_age_ms(const struct fleet *f, int64_t now)
{
	int64_t ms = age_ms(f, now);

	if (!f->workers_known || ms == INT64_MAX)
		return 0;
	return ms > 0 ? (uint64_t)ms : 1;
}

void workers_put_age(const struct fleet *f, int64_t now, struct wire_out *w)
{
	wire_put_u64(w, fleet_is_driver(f) ? workers_told_age_ms(f, now) : 0);
	wire_put_u64(w, f->workers_hash);
}

void workers_read_age(struct fleet *f, int64_t echo_ms, struct wire_in *w)
{
	int64_t told_ms = (int64_t)wire_u64(w);
	uint64_t hash = wire_u64(w);
	int64_t at = heartbeat_dated(f, echo_ms, told_ms);

	if (!w->failed && at && f->workers_known && hash == f->workers_hash)
		workers_confirm(f, at);
}

/* All but how much longer it is cold, which each read tells anew. */
static uint64_t hash_worker(const struct drive_worker *w)
{
	struct drive_worker plain;
	size_t i;

	memset(&plain, 0, sizeof(plain));
	copy_text(plain.name, sizeof(plain.name), w->name);
	copy_text(plain.service, sizeof(plain.service), w->service);
	copy_text(plain.domain, sizeof(plain.domain), w->domain);
	copy_text(plain.addr.ip, sizeof(plain.addr.ip), w->addr.ip);
	plain.addr.port = w->addr.port;
	plain.cpu_milli = w->cpu_milli;
	plain.memory_mb = w->memory_mb;
	plain.accelerators = w->accelerators;
	plain.slots = w->slots;
	plain.leaving = w->leaving;
	plain.born_ms = w->born_ms;
	plain.n_labels = w->n_labels;
	for (i = 0; i < w->n_labels; i++)
		copy_text(plain.labels[i], sizeof(plain.labels[i]),
			  w->labels[i]);
	return XXH3_64bits(&plain, sizeof(plain));
}

uint64_t workers_hash(const struct drive_worker *list, size_t n)
{
	uint64_t sum = 0; /* the order says nothing */
	size_t i;

	for (i = 0; i < n; i++)
		sum += hash_worker(&list[i]);
	return sum;
}

bool workers_is_standby_read_due(const struct fleet *f, int64_t now)
{
	/* The driver's heartbeats confirm a list that has just come. */
	return f->driver != f->opt.self.id && f->workers_known &&
	       age_ms(f, now) >= STANDBY_AGE_MS &&
	       now - f->workers_listed_at >= STANDBY_AGE_MS &&
	       now - f->workers_read_at >= STANDBY_READ_INTERVAL_MS &&
	       fleet_is_member(f, f->opt.self.id) &&
	       election_is_best_candidate(f, now);
}

void workers_await_if_old(struct fleet *f, int64_t now)
{
	if (!f->workers_known || !drive_is_active(f->drive) ||
	    age_ms(f, now) <= OLD_MS)
		return;
	log_info(
		"workers_awaited", LOG_S("cell", f->opt.cell),
		LOG_I("age_ms", f->workers_confirmed_at ? age_ms(f, now) : -1));
	f->workers_awaited_until = now + AWAIT_MAX_MS;
	f->next_workers_read_at = now;
	drive_await_list(f->drive, now, true);
}

static void end_await(struct fleet *f, int64_t now, const char *why)
{
	log_info("workers_await_ended", LOG_S("cell", f->opt.cell),
		 LOG_S("why", why),
		 LOG_I("after_ms",
		       now - (f->workers_awaited_until - AWAIT_MAX_MS)));
	f->workers_awaited_until = 0;
	drive_await_list(f->drive, now, false);
}

void workers_check_await(struct fleet *f, int64_t now)
{
	if (!f->workers_awaited_until)
		return;
	if (age_ms(f, now) <= OLD_MS)
		end_await(f, now, "read");
	else if (now >= f->workers_awaited_until)
		end_await(f, now, "no_answer");
}
