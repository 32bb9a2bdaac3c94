/*
 * Copies a slice's claims from the primary to its new backup, one message at
 * a time. The backup counts as complete after the last one.
 */
#include <string.h>

#include "coordination/coord_state.h"
#include "protocol/wire.h"

enum { COPY_FIELDS = 7 };

static bool belongs(const struct claim *cl, unsigned s)
{
	return cl->slice == s && cl->state != CLAIM_WAITING;
}

/* Counts claims of slice `s` from place `pos`; `*end` is where it stops. */
static size_t chunk_size(const struct syc_coord *c, unsigned s, uint32_t pos,
			 uint32_t *end)
{
	uint64_t handle;
	const struct claim *cl;
	size_t n = 0;

	*end = pos;
	while (n < COPY_CHUNK &&
	       (cl = table_next(&c->claims.table, end, &handle)))
		n += belongs(cl, s);
	return n;
}

static void put_claim(struct wire_out *w, const struct claim *cl, int64_t now)
{
	wire_put_array(w, COPY_FIELDS);
	wire_put_bytes(w, cl->key.b, sizeof(cl->key.b));
	wire_put_bytes(w, cl->digest, sizeof(cl->digest));
	wire_put_u64(w, cl->runner);
	wire_put_u64(w, cl->serial);
	wire_put_u64(w, cl->state);
	wire_put_u64(w, cl->outcome);
	wire_put_u64(w, (uint64_t)(now - cl->at));
}

static void put_chunk(struct syc_coord *c, struct wire_out *w, unsigned s,
		      const struct copy_out *co, size_t n)
{
	uint32_t pos = co->pos;
	const struct claim *cl;
	uint64_t handle;

	wire_put_array(w, n);
	while (n && (cl = table_next(&c->claims.table, &pos, &handle))) {
		if (!belongs(cl, s))
			continue;
		put_claim(w, cl, c->now);
		n--;
	}
}

static void send_chunk(struct syc_coord *c, unsigned s)
{
	const struct map_slice *sl = &c->map.slices[s];
	struct copy_out *co = &c->copies[s];
	auto_wire_out struct wire_out w;
	uint32_t end;
	size_t n = chunk_size(c, s, co->pos, &end);

	wire_begin(&w, SYC_PEER_CLAIM_COPY, 6);
	wire_put_u64(&w, s);
	wire_put_u64(&w, sl->since);
	wire_put_u64(&w, co->chunk);
	wire_put_u64(&w, end);
	wire_put_bool(&w, n < COPY_CHUNK);
	put_chunk(c, &w, s, co, n);
	co->sent = c->now;
	c->stats.copy_msgs++;
	c->stats.copy_bytes += wire_bytes(&w).n;
	coord_send(c, sl->backup, wire_bytes(&w));
}

void claim_copy_adopted(struct syc_coord *c, const struct map *old)
{
	unsigned s;

	for (s = 0; s < SYC_SLICES; s++) {
		const struct map_slice *sl = &c->map.slices[s];

		if (!memcmp(sl, &old->slices[s], sizeof(*sl)))
			continue;
		memset(&c->copies[s], 0, sizeof(c->copies[s]));
		c->copy_next[s] = 0;
		if (sl->primary != c->opt.self.id || !sl->backup)
			continue;
		c->copies[s].active = true;
		send_chunk(c, s);
	}
}

void claim_copy_tick(struct syc_coord *c)
{
	unsigned s;

	for (s = 0; s < SYC_SLICES; s++)
		if (c->copies[s].active &&
		    c->now - c->copies[s].sent >= RESEND_MS)
			send_chunk(c, s);
}

/* The fields of a copy message before its claims; an ack repeats them. */
struct copy_head {
	uint64_t slice;
	uint64_t since;
	uint64_t chunk;
	uint64_t end; /* place in the sender's table where the next begins */
	bool last;
};

static void read_head(struct wire_in *w, struct copy_head *h)
{
	h->slice = wire_u64(w);
	h->since = wire_u64(w);
	h->chunk = wire_u64(w);
	h->end = wire_u64(w);
	h->last = wire_bool(w);
	if (h->slice >= SYC_SLICES || h->end > UINT32_MAX)
		w->failed = true;
}

/*
 * A message sent twice may have held more the second time; the copy goes on
 * from the end of the one that was acknowledged.
 */
bool claim_copy_acked(struct syc_coord *c, uint64_t from, struct syc_bytes msg)
{
	struct copy_head h;
	struct copy_out *co;
	struct wire_in w;

	wire_open(&w, msg);
	read_head(&w, &h);
	if (!wire_close(&w))
		return false;
	co = &c->copies[h.slice];
	if (!co->active || c->map.slices[h.slice].since != h.since ||
	    c->map.slices[h.slice].backup != from || co->chunk != h.chunk)
		return true;
	co->active = !h.last;
	if (h.last)
		return true;
	co->chunk++;
	co->pos = (uint32_t)h.end;
	send_chunk(c, (unsigned)h.slice);
	return true;
}

static bool read_claim(struct wire_in *w, struct claim *cl, int64_t now)
{
	uint64_t state, outcome, age;

	memset(cl, 0, sizeof(*cl));
	wire_enter(w, COPY_FIELDS);
	wire_fixed(w, cl->key.b, sizeof(cl->key.b));
	wire_fixed(w, cl->digest, sizeof(cl->digest));
	cl->runner = wire_u64(w);
	cl->serial = (uint32_t)wire_u64(w);
	state = wire_u64(w);
	outcome = wire_u64(w);
	age = wire_u64(w);
	wire_leave(w);
	if ((state != CLAIM_LIVE && state != CLAIM_ENDED) ||
	    outcome > SYC_UNKNOWN || age > INT32_MAX)
		w->failed = true;
	cl->state = (uint8_t)state;
	cl->outcome = (uint8_t)outcome;
	cl->at = now - (int64_t)age;
	return !w->failed;
}

/* Whether what we hold of a key is at least as new as the copy says. */
static bool knows_more(const struct syc_coord *c, const struct claim *cl,
		       const struct claim *said)
{
	if (cl->runner == c->opt.self.id)
		return true;
	return cl->runner == said->runner &&
	       (cl->serial > said->serial || cl->state == CLAIM_ENDED);
}

static void note_copy(struct syc_coord *c, const struct claim *said)
{
	struct claim *cl = claims_find(&c->claims, &said->key);

	if (cl && knows_more(c, cl, said))
		return;
	if (!cl)
		cl = claims_add(&c->claims, &said->key);
	memcpy(cl->digest, said->digest, sizeof(cl->digest));
	cl->runner = said->runner;
	cl->serial = said->serial;
	cl->state = said->state;
	cl->outcome = said->outcome;
	cl->at = said->at;
}

static void send_copy_ack(struct syc_coord *c, uint64_t to,
			  const struct copy_head *h)
{
	auto_wire_out struct wire_out w;

	wire_begin(&w, SYC_PEER_CLAIM_COPY_ACK, 5);
	wire_put_u64(&w, h->slice);
	wire_put_u64(&w, h->since);
	wire_put_u64(&w, h->chunk);
	wire_put_u64(&w, h->end);
	wire_put_bool(&w, h->last);
	c->stats.copy_msgs++;
	c->stats.copy_bytes += wire_bytes(&w).n;
	coord_send(c, to, wire_bytes(&w));
}

/* Whether the copy is for our place in the map; asks or tells if not. */
static bool expected(struct syc_coord *c, uint64_t from,
		     const struct copy_head *h)
{
	const struct map_slice *sl = &c->map.slices[h->slice];

	if (sl->since < h->since)
		map_ask(c, from);
	else if (sl->since > h->since)
		map_push(c, from);
	return sl->since == h->since && sl->primary == from &&
	       sl->backup == c->opt.self.id &&
	       h->chunk <= c->copy_next[h->slice];
}

bool claim_copy_receive(struct syc_coord *c, uint64_t from,
			struct syc_bytes msg)
{
	static struct claim chunk[COPY_CHUNK];
	struct copy_head h;
	struct wire_in w;
	size_t i, n;

	wire_open(&w, msg);
	read_head(&w, &h);
	n = wire_enter(&w, COPY_CHUNK);
	for (i = 0; i < n && read_claim(&w, &chunk[i], c->now); i++)
		if (map_slice_of(&chunk[i].key) != h.slice)
			w.failed = true;
	wire_leave(&w);
	if (!wire_close(&w))
		return false;
	if (!expected(c, from, &h))
		return true;
	for (i = 0; i < n; i++)
		note_copy(c, &chunk[i]);
	if (h.chunk == c->copy_next[h.slice])
		c->copy_next[h.slice]++;
	if (h.last)
		c->complete |= 1ULL << h.slice;
	send_copy_ack(c, from, &h);
	return true;
}
