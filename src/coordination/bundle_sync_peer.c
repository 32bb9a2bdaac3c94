/* How the sync pulls from peers and answers their pulls. */
#include <string.h>

#include "coordination/bundle_delta.h"
#include "coordination/bundle_sync_internal.h"

enum { FORM_WHOLE = 0, FORM_DELTA = 1 };

static uint64_t current_version(const struct syc_bundle_sync *s)
{
	return s->current ? s->current->version : 0;
}

static struct syc_bytes envelope(const struct syc_bundle *b)
{
	return (struct syc_bytes){b->text, b->text_len};
}

static struct sync_offer *find_offer(struct syc_bundle_sync *s, uint64_t peer)
{
	struct sync_offer *spare = NULL;
	size_t i;

	for (i = 0; i < SYNC_OFFERS_MAX; i++) {
		if (s->offers[i].peer == peer)
			return &s->offers[i];
		if (!spare && s->offers[i].version <= current_version(s) &&
		    s->offers[i].not_before <= s->now)
			spare = &s->offers[i];
	}
	return spare;
}

void syc_bundle_sync_peer_version(struct syc_bundle_sync *s, int64_t now,
				  uint64_t peer, uint64_t version)
{
	struct sync_offer *o;

	s->now = now;
	if (version <= current_version(s))
		return;
	o = find_offer(s, peer);
	if (!o)
		return;
	if (o->peer != peer)
		*o = (struct sync_offer){.peer = peer};
	o->version = version;
}

static const struct sync_offer *best_offer(const struct syc_bundle_sync *s)
{
	const struct sync_offer *best = NULL;
	size_t i;

	for (i = 0; i < SYNC_OFFERS_MAX; i++) {
		const struct sync_offer *o = &s->offers[i];

		if (o->version <= current_version(s) || o->not_before > s->now)
			continue;
		if (!best || o->version > best->version)
			best = o;
	}
	return best;
}

static void rest_peer(struct syc_bundle_sync *s, uint64_t peer, int64_t ms)
{
	struct sync_offer *o = find_offer(s, peer);

	if (o && o->peer == peer)
		o->not_before = s->now + ms;
}

static void ask(struct syc_bundle_sync *s, uint64_t peer)
{
	auto_wire_out struct wire_out w;

	wire_begin(&w, SYC_PEER_BUNDLE_REQUEST, 2);
	wire_put_u64(&w, current_version(s));
	wire_put_u64(&w, s->current && !s->pull_whole
				 ? sync_text_hash(envelope(s->current))
				 : 0);
	s->pull_from = peer;
	s->pull_until = s->now + SYNC_PULL_LIMIT_MS;
	s->pull_next = s->now + SYNC_PULL_PAUSE_MS;
	s->opt.send(s->opt.ctx, peer, wire_bytes(&w));
}

void sync_peer_tick(struct syc_bundle_sync *s)
{
	const struct sync_offer *o;

	if (s->pull_from && s->now >= s->pull_until) {
		rest_peer(s, s->pull_from, SYNC_PULL_LIMIT_MS);
		s->pull_from = 0;
	}
	if (s->pull_from || s->now < s->pull_next)
		return;
	o = best_offer(s);
	if (o)
		ask(s, o->peer);
}

static const struct syc_bundle *find_recent(const struct syc_bundle_sync *s,
					    uint64_t hash)
{
	size_t i;

	for (i = 1; hash && i < SYNC_RECENT_MAX && s->recent[i]; i++)
		if (sync_text_hash(envelope(s->recent[i])) == hash)
			return s->recent[i];
	return NULL;
}

static bool may_reply(struct syc_bundle_sync *s)
{
	enum { SECOND_MS = 1000 };

	if (s->now - s->replies_since >= SECOND_MS) {
		s->replies_since = s->now;
		s->replies = 0;
		s->reply_bytes = 0;
	}
	return s->reply_bytes < SYNC_REPLY_BYTES_PER_S &&
	       s->replies++ < SYNC_REPLIES_PER_S;
}

static void reply(struct syc_bundle_sync *s, uint64_t to, uint64_t hash)
{
	struct bundle_step steps[BUNDLE_DELTA_STEPS_MAX];
	const struct syc_bundle *base = find_recent(s, hash);
	auto_wire_out struct wire_out w;
	size_t n = 0;

	if (base)
		n = bundle_delta_make(envelope(base), envelope(s->current),
				      steps, BUNDLE_DELTA_STEPS_MAX);
	wire_begin(&w, SYC_PEER_BUNDLE, 3);
	wire_put_u64(&w, n ? FORM_DELTA : FORM_WHOLE);
	wire_put_u64(&w, n ? hash : 0);
	if (n)
		bundle_delta_put(&w, steps, n);
	else
		wire_put_bytes(&w, s->current->text, s->current->text_len);
	s->reply_bytes += wire_bytes(&w).n;
	s->opt.send(s->opt.ctx, to, wire_bytes(&w));
}

static bool asked(struct syc_bundle_sync *s, uint64_t from,
		  struct syc_bytes msg)
{
	struct wire_in w;
	uint64_t version, hash;

	wire_open(&w, msg);
	version = wire_u64(&w);
	hash = wire_u64(&w);
	if (!wire_close(&w))
		return false;
	if (s->current && s->current->version > version && may_reply(s))
		reply(s, from, hash);
	return true;
}

/* Rebuilds the envelope; false when the delta's base is not ours. */
static bool take_text(struct syc_bundle_sync *s, struct wire_in *w,
		      struct buf *text)
{
	uint64_t form = wire_u64(w);
	uint64_t hash = wire_u64(w);
	struct syc_bytes whole;

	if (form == FORM_DELTA)
		return s->current &&
		       sync_text_hash(envelope(s->current)) == hash &&
		       bundle_delta_take(w, envelope(s->current), text,
					 SYC_BUNDLE_BYTES_MAX);
	whole = wire_view(w);
	if (form != FORM_WHOLE || whole.n > SYC_BUNDLE_BYTES_MAX)
		return false;
	buf_add(text, whole.p, whole.n);
	return true;
}

static void received(struct syc_bundle_sync *s, uint64_t from,
		     struct syc_bytes text)
{
	char err[256] = "";

	if (sync_consider(s, text, err, sizeof(err)))
		return;
	/* The store may have been faster: that is no fault of the peer. */
	if (s->current && text.n == s->current->text_len &&
	    !memcmp(text.p, s->current->text, text.n)) {
		rest_peer(s, from, SYNC_PULL_LIMIT_MS);
		return;
	}
	sync_refuse(s, "peer %016llx: %s", (unsigned long long)from, err);
	rest_peer(s, from, SYNC_PEER_PAUSE_MS);
}

static bool got_bundle(struct syc_bundle_sync *s, uint64_t from,
		       struct syc_bytes msg)
{
	auto_buf struct buf text = {0};
	struct wire_in w;
	bool fits;

	if (from != s->pull_from)
		return true;
	s->pull_from = 0;
	wire_open(&w, msg);
	fits = take_text(s, &w, &text);
	if (!wire_close(&w)) {
		rest_peer(s, from, SYNC_PEER_PAUSE_MS);
		return false;
	}
	s->pull_whole = !fits;
	if (fits)
		received(s, from, (struct syc_bytes){text.data, text.len});
	return true;
}

bool syc_bundle_sync_receive(struct syc_bundle_sync *s, int64_t now,
			     uint64_t from, struct syc_bytes msg)
{
	s->now = now;
	switch (wire_type(msg)) {
	case SYC_PEER_BUNDLE_REQUEST:
		return asked(s, from, msg);
	case SYC_PEER_BUNDLE:
		return got_bundle(s, from, msg);
	default:
		return false;
	}
}
