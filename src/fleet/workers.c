/*
 * Keeps the list of workers. The driver reads it from the platform often and
 * sends it to its peers when it has changed. Other instances read it only
 * OTHER_READ_INTERVAL_MS after the last list that they received or read, or when
 * it is too old to drive by (workers_age.c).
 */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"
#include "util/cleanup.h"

enum {
	DRIVER_READ_INTERVAL_MS = 500,
	OTHER_READ_INTERVAL_MS = 10000,
	FAILED_READ_RETRY_MS = 500, /* after it was sent, and... */
	LOST_READ_RETRY_MS = 100, /* ...after it failed */
	/* An instance without a list waits for the driver's first. */
	FIRST_READ_AFTER_MS = 1000,
	/* After a failed read, entries may be missing for this time. */
	KEEP_MISSING_MS = 2500,
	/* Times until which a worker is cold may differ by as much. */
	COLD_TOLERANCE_MS = 1000
};

/*
 * Whether the driver's list arrives by itself: the driver sends it when a link
 * comes up and at each change.
 */
static bool is_sent_by_driver(const struct fleet *f, int64_t now)
{
	if (f->driver == f->opt.self.id)
		return false;
	if (f->workers_known)
		return election_is_driver_reachable(f, now);
	return now - f->started_at < FIRST_READ_AFTER_MS;
}

static bool is_read_due(const struct fleet *f, int64_t now)
{
	if (workers_is_standby_read_due(f, now))
		return true;
	return now >= f->next_workers_read_at && !is_sent_by_driver(f, now);
}

void workers_tick(struct fleet *f, int64_t now)
{
	reader_tick(f, now);
	workers_check_await(f, now);
	if (f->workers_read_in_flight || !fleet_is_eligible(f) ||
	    fleet_is_divided(f) || !is_read_due(f, now))
		return;
	f->workers_read_in_flight = true;
	f->workers_read_at = now;
	if (!reader_request(f, now))
		f->opt.read_workers(f->opt.ctx);
}

static bool has_worker(const struct drive_worker *list, size_t n,
		       const char *name)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(list[i].name, name))
			return true;
	return false;
}

/*
 * Appends the known workers that `next` lacks: entries expire while the store
 * is unreachable, and are added again a little later.
 */
static size_t keep_missing_workers(const struct fleet *f,
				   struct drive_worker *next, size_t n)
{
	size_t i, all = n;

	for (i = 0; i < f->n_workers; i++)
		if (!has_worker(next, n, f->workers[i].name))
			next[all++] = f->workers[i];
	return all;
}

void workers_send(struct fleet *f, uint64_t to)
{
	auto_wire_out struct wire_out w = {0};
	auto_free struct drive_worker *unlisted = NULL;
	const struct fleet_peer *p = heartbeat_find_peer(f, to);
	size_t n = drive_count_workers(f->drive);
	int64_t now = syc_now(&f->opt.clock);

	unlisted = xcalloc(n + 1, sizeof(*unlisted));
	n = drive_get_unlisted_workers(f->drive, now, unlisted, n);

	wire_begin(&w, SYC_PEER_WORKERS, 8);
	workers_pack_list(&w, f->workers, f->n_workers);
	workers_pack_list(&w, unlisted, n);
	workers_pack_lives(&w, f->workers, f->n_workers);
	workers_pack_lives(&w, unlisted, n);
	workers_pack_slots(&w, f->workers, f->n_workers);
	workers_pack_slots(&w, unlisted, n);
	wire_put_u64(&w, p ? p->sent_at_ms : 0);
	wire_put_u64(&w, workers_told_age_ms(f, now));
	f->opt.send(f->opt.ctx, to, wire_bytes(&w));
}

static void send_to_all_peers(struct fleet *f)
{
	size_t i;

	for (i = 0; i < f->n_peers; i++)
		if (f->peers[i].link_up &&
		    fleet_is_eligible_domain(f, f->peers[i].instance.domain))
			workers_send(f, f->peers[i].instance.id);
}

static bool has_same_labels(const struct drive_worker *a,
			    const struct drive_worker *b)
{
	size_t i;

	if (a->n_labels != b->n_labels)
		return false;
	for (i = 0; i < a->n_labels; i++)
		if (strcmp(a->labels[i], b->labels[i]))
			return false;
	return true;
}

static bool is_same_worker(const struct drive_worker *a,
			   const struct drive_worker *b)
{
	return !strcmp(a->name, b->name) && a->born_ms == b->born_ms &&
	       !strcmp(a->service, b->service) &&
	       !strcmp(a->domain, b->domain) &&
	       !strcmp(a->addr.ip, b->addr.ip) &&
	       a->addr.port == b->addr.port && a->cpu_milli == b->cpu_milli &&
	       a->memory_mb == b->memory_mb &&
	       a->accelerators == b->accelerators && a->slots == b->slots &&
	       a->leaving == b->leaving && has_same_labels(a, b);
}

/*
 * Whether both workers are cold until about the same time, so that the list is
 * not sent again as that time comes nearer.
 */
static bool is_same_cold(const struct fleet *f, int64_t now,
			 const struct drive_worker *next,
			 const struct drive_worker *known)
{
	int64_t left_ms = f->workers_listed_at + known->cold_ms - now;
	int64_t difference_ms = next->cold_ms - (left_ms > 0 ? left_ms : 0);

	return llabs(difference_ms) < COLD_TOLERANCE_MS;
}

static bool is_same_list(const struct fleet *f, int64_t now,
			 const struct drive_worker *list, size_t n)
{
	size_t i;

	if (n != f->n_workers)
		return false;
	for (i = 0; i < n; i++)
		if (!is_same_worker(&list[i], &f->workers[i]) ||
		    !is_same_cold(f, now, &list[i], &f->workers[i]))
			return false;
	return true;
}

/* Replaces the list by `next`, which the fleet then owns. */
static void replace_list(struct fleet *f, int64_t now,
			 struct drive_worker *next, size_t n)
{
	free(f->workers);
	f->workers = next;
	f->n_workers = n;
	f->workers_known = true;
	f->workers_hash = workers_hash(next, n);
	f->workers_listed_at = now;
	drive_set_workers(f->drive, now, next, n);
}

size_t workers_copy_own(const struct fleet *f, struct drive_worker *next,
			const struct drive_worker *list, size_t n)
{
	size_t i, n_own = 0;

	for (i = 0; i < n; i++)
		if (fleet_is_eligible_domain(f, list[i].domain))
			next[n_own++] = list[i];
	return n_own;
}

/* When the store had what the message says; zero: not known. */
static int64_t read_date(const struct fleet *f, struct wire_in *w)
{
	int64_t echo_ms, age_ms;

	if (!wire_has_more(w))
		return 0;
	echo_ms = (int64_t)wire_u64(w);
	age_ms = (int64_t)wire_u64(w);
	return heartbeat_dated(f, echo_ms, age_ms);
}

/* Whether the list that this instance has is a newer one. */
static bool is_outdated(const struct fleet *f, int64_t listed_at)
{
	return f->workers_known && listed_at &&
	       listed_at < f->workers_confirmed_at;
}

/* Takes the list over, which the fleet then owns. */
static void take_list(struct fleet *f, int64_t now, struct drive_worker *list,
		      size_t n, int64_t listed_at)
{
	f->workers_confirmed_at = listed_at;
	drive_end_others_use(f->drive, now);
	replace_list(f, now, list, n);
}

bool workers_receive(struct fleet *f, int64_t now, struct syc_bytes msg)
{
	auto_free struct drive_worker *listed = NULL;
	auto_free struct drive_worker *unlisted = NULL;
	uint32_t n, n_unlisted;
	int64_t listed_at;
	struct wire_in w;

	wire_open(&w, msg);
	listed = workers_unpack_list(&w, &n);
	unlisted = workers_unpack_list(&w, &n_unlisted);
	workers_unpack_lives(&w, listed, n);
	workers_unpack_lives(&w, unlisted, n_unlisted);
	workers_unpack_slots(&w, listed, n);
	workers_unpack_slots(&w, unlisted, n_unlisted);
	listed_at = read_date(f, &w);
	if (!wire_close(&w))
		return false;
	if (fleet_is_driver(f))
		return true; /* the driver reads the list itself */
	f->next_workers_read_at = now + OTHER_READ_INTERVAL_MS;
	if (is_outdated(f, listed_at))
		drive_note_others_use(f->drive, now, listed, n);
	else
		take_list(f, now, take_ptr(listed), n, listed_at);
	drive_add_unlisted_workers(f->drive, now, unlisted, n_unlisted);
	return true;
}

/* A read that was lost has taken its time limit already. */
static int64_t retry_at(const struct fleet *f, int64_t now)
{
	int64_t at = f->workers_read_at + FAILED_READ_RETRY_MS;

	return at > now + LOST_READ_RETRY_MS ? at : now + LOST_READ_RETRY_MS;
}

/* A driver that this list did not come from may go on with the one before. */
static void use_read_list(struct fleet *f, int64_t now,
			  struct drive_worker *next, size_t n)
{
	auto_free struct drive_worker *before = f->workers;
	size_t n_before = f->n_workers;

	f->workers = NULL;
	replace_list(f, now, next, n);
	if (!fleet_is_driver(f))
		drive_note_others_use(f->drive, now, before, n_before);
}

void fleet_set_workers(struct fleet *f, int64_t now,
		       const struct drive_worker *list, size_t n)
{
	struct drive_worker *next;
	bool changed;

	f->workers_read_in_flight = false;
	reader_answer(f, now, list, n);
	if (!list) {
		f->workers_failed_at = now;
		f->next_workers_read_at = retry_at(f, now);
		return;
	}
	f->next_workers_read_at = now + (fleet_is_driver(f)
						 ? DRIVER_READ_INTERVAL_MS
						 : OTHER_READ_INTERVAL_MS);
	next = xcalloc(n + f->n_workers + 1, sizeof(*next));
	division_check(f, list, n);
	n = workers_copy_own(f, next, list, n);
	if (f->workers_failed_at &&
	    now - f->workers_failed_at < KEEP_MISSING_MS)
		n = keep_missing_workers(f, next, n);
	/* Instances that linked while there was no driver have no list. */
	changed = !is_same_list(f, now, next, n) ||
		  f->workers_sent_epoch != f->epoch;
	workers_confirm(f, f->workers_read_at);
	use_read_list(f, now, next, n);
	workers_check_await(f, now);
	/* A fleet that is about to be divided has no use for the list. */
	if (!changed || !fleet_is_driver(f) || f->wanted_cells.n_cells)
		return;
	f->workers_sent_epoch = f->epoch;
	send_to_all_peers(f);
}
