/*
 * Lets another member of a cell read the list of workers for its driver. The
 * platform lists the workers of all failure domains, some hundred kilobytes, of
 * which a cell needs its own part. A driver whose link is weak would delay its
 * starts by that, so a member that does not drive reads the list and sends the
 * driver that part. If it does not answer in time the driver reads by itself.
 */
#include "fleet/fleet_state.h"
#include "util/alloc.h"
#include "util/cleanup.h"

enum {
	ANSWER_TIMEOUT_MS = 300,
	/* The driver reads by itself after a reader that did not answer. */
	READER_RETRY_MS = 5000
};

/* The member that can drive most, besides the driver. */
static const struct fleet_peer *choose_reader(const struct fleet *f,
					      int64_t now)
{
	const struct fleet_peer *p, *best = NULL;
	size_t i;

	for (i = 0; i < f->n_peers; i++) {
		p = &f->peers[i];
		if (!p->link_up || p->leaving ||
		    !election_is_reachable_member(f, p, now))
			continue;
		if (!best || p->capacity > best->capacity ||
		    (p->capacity == best->capacity &&
		     p->instance.id < best->instance.id))
			best = p;
	}
	return best;
}

bool reader_request(struct fleet *f, int64_t now)
{
	auto_wire_out struct wire_out w = {0};
	const struct fleet_peer *reader;

	f->reader_answer_due_at = 0;
	if (!*f->opt.cell || !fleet_is_driver(f) || !f->workers_known ||
	    now < f->next_reader_at)
		return false;
	reader = choose_reader(f, now);
	if (!reader)
		return false;
	wire_begin(&w, SYC_PEER_WORKERS_REQUEST, 1);
	wire_put_u64(&w, ++f->read_number);
	if (!f->opt.send(f->opt.ctx, reader->instance.id, wire_bytes(&w)))
		return false;
	f->reader_answer_due_at = now + ANSWER_TIMEOUT_MS;
	return true;
}

static void read_without_reader(struct fleet *f, int64_t now, const char *why)
{
	log_info("workers_reader_failed", LOG_S("why", why),
		 LOG_I("after_ms", now - f->workers_read_at));
	f->reader_answer_due_at = 0;
	f->next_reader_at = now + READER_RETRY_MS;
	f->workers_read_at = now;
	f->opt.read_workers(f->opt.ctx);
}

static void read_for_driver(struct fleet *f, int64_t now)
{
	f->workers_read_in_flight = true;
	f->workers_read_at = now;
	f->opt.read_workers(f->opt.ctx);
}

void reader_tick(struct fleet *f, int64_t now)
{
	if (f->reader_answer_due_at && now >= f->reader_answer_due_at)
		read_without_reader(f, now, "no_answer");
	if (f->read_for && !f->workers_read_in_flight)
		read_for_driver(f, now);
}

bool reader_receive_request(struct fleet *f, int64_t now, uint64_t from,
			    struct syc_bytes msg)
{
	struct wire_in w;
	uint64_t number;

	wire_open(&w, msg);
	number = wire_u64(&w);
	if (!wire_close(&w))
		return false;
	f->read_for = from;
	f->read_for_number = number;
	f->read_requested_at = now;
	if (!f->workers_read_in_flight)
		read_for_driver(f, now);
	return true;
}

void reader_answer(struct fleet *f, int64_t now,
		   const struct drive_worker *list, size_t n)
{
	auto_free struct drive_worker *own = NULL;
	auto_wire_out struct wire_out w = {0};

	/* A read that was sent before the request may be older than that. */
	if (!f->read_for || f->workers_read_at < f->read_requested_at)
		return;
	own = xcalloc(n + 1, sizeof(*own));
	n = list ? workers_copy_own(f, own, list, n) : 0;
	wire_begin(&w, SYC_PEER_WORKERS_READ, 5);
	wire_put_u64(&w, f->read_for_number);
	wire_put_bool(&w, list != NULL);
	workers_pack_list(&w, own, n);
	workers_pack_lives(&w, own, n);
	workers_pack_slots(&w, own, n);
	f->opt.send(f->opt.ctx, f->read_for, wire_bytes(&w));
	f->read_for = 0;
}

bool reader_receive_list(struct fleet *f, int64_t now, struct syc_bytes msg)
{
	auto_free struct drive_worker *list = NULL;
	struct wire_in w;
	uint64_t number;
	uint32_t n;
	bool ok;

	wire_open(&w, msg);
	number = wire_u64(&w);
	ok = wire_bool(&w);
	list = workers_unpack_list(&w, &n);
	workers_unpack_lives(&w, list, n);
	workers_unpack_slots(&w, list, n);
	if (!wire_close(&w))
		return false;
	if (number != f->read_number || !f->reader_answer_due_at)
		return true; /* the driver reads by itself already */
	if (!ok) {
		read_without_reader(f, now, "store");
		return true;
	}
	f->reader_answer_due_at = 0;
	fleet_set_workers(f, now, list, n);
	return true;
}
