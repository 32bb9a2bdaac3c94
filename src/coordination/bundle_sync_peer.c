/* Pulls bundles from peers and answers their pulls. */
#include <string.h>

#include "coordination/bundle_delta.h"
#include "coordination/bundle_sync_internal.h"

/* The first field of a bundle message. */
enum { FORM_WHOLE = 0, FORM_DELTA = 1 };

static uint64_t current_version(const struct syc_bundle_sync *s)
{
	return s->current ? s->current->version : 0;
}

static struct syc_bytes envelope_of(const struct syc_bundle *b)
{
	return (struct syc_bytes){b->text, b->text_len};
}

/*
 * Returns the offer of `peer`. If there is none, returns an offer that is no
 * longer needed and may be overwritten, or NULL.
 */
static struct sync_offer *find_or_reuse_offer(struct syc_bundle_sync *s,
					      uint64_t peer)
{
	struct sync_offer *reusable = NULL;
	size_t i;

	for (i = 0; i < SYNC_OFFERS_MAX; i++) {
		if (s->offers[i].peer == peer)
			return &s->offers[i];
		if (!reusable && s->offers[i].version <= current_version(s) &&
		    s->offers[i].retry_at <= s->now)
			reusable = &s->offers[i];
	}
	return reusable;
}

void syc_bundle_sync_peer_version(struct syc_bundle_sync *s, int64_t now,
				  uint64_t peer, uint64_t version)
{
	struct sync_offer *offer;

	s->now = now;
	if (version <= current_version(s))
		return;
	offer = find_or_reuse_offer(s, peer);
	if (!offer)
		return;
	if (offer->peer != peer)
		*offer = (struct sync_offer){.peer = peer};
	offer->version = version;
}

static const struct sync_offer *find_newest_offer(
	const struct syc_bundle_sync *s)
{
	const struct sync_offer *newest = NULL;
	size_t i;

	for (i = 0; i < SYNC_OFFERS_MAX; i++) {
		const struct sync_offer *offer = &s->offers[i];

		if (offer->version <= current_version(s) ||
		    offer->retry_at > s->now)
			continue;
		if (!newest || offer->version > newest->version)
			newest = offer;
	}
	return newest;
}

static void back_off_peer(struct syc_bundle_sync *s, uint64_t peer,
			  int64_t delay_ms)
{
	struct sync_offer *offer = find_or_reuse_offer(s, peer);

	if (offer && offer->peer == peer)
		offer->retry_at = s->now + delay_ms;
}

static void send_pull(struct syc_bundle_sync *s, uint64_t peer)
{
	auto_wire_out struct wire_out w;

	wire_begin(&w, SYC_PEER_BUNDLE_REQUEST, 2);
	wire_put_u64(&w, current_version(s));
	wire_put_u64(&w, s->current && !s->wants_whole_text
				 ? sync_envelope_hash(envelope_of(s->current))
				 : 0);
	s->pull_from = peer;
	s->pull_timeout_at = s->now + SYNC_PULL_TIMEOUT_MS;
	s->next_pull_at = s->now + SYNC_PULL_INTERVAL_MS;
	s->opt.send(s->opt.ctx, peer, wire_bytes(&w));
}

void sync_peer_tick(struct syc_bundle_sync *s)
{
	const struct sync_offer *offer;

	if (s->pull_from && s->now >= s->pull_timeout_at) {
		back_off_peer(s, s->pull_from, SYNC_PULL_TIMEOUT_MS);
		s->pull_from = 0;
	}
	if (s->pull_from || s->now < s->next_pull_at)
		return;
	offer = find_newest_offer(s);
	if (offer)
		send_pull(s, offer->peer);
}

static const struct syc_bundle *find_recent_bundle(
	const struct syc_bundle_sync *s, uint64_t hash)
{
	size_t i;

	for (i = 1; hash && i < SYNC_RECENT_MAX && s->recent[i]; i++)
		if (sync_envelope_hash(envelope_of(s->recent[i])) == hash)
			return s->recent[i];
	return NULL;
}

/* Counts an answer if the limits per second still allow one. */
static bool take_reply_quota(struct syc_bundle_sync *s)
{
	enum { WINDOW_MS = 1000 };

	if (s->now - s->reply_window_at >= WINDOW_MS) {
		s->reply_window_at = s->now;
		s->window_replies = 0;
		s->window_reply_bytes = 0;
	}
	return s->window_reply_bytes < SYNC_REPLY_BYTES_PER_S &&
	       s->window_replies++ < SYNC_REPLIES_PER_S;
}

static void send_bundle(struct syc_bundle_sync *s, uint64_t to, uint64_t hash)
{
	struct bundle_delta_step steps[BUNDLE_DELTA_STEPS_MAX];
	const struct syc_bundle *base = find_recent_bundle(s, hash);
	auto_wire_out struct wire_out w;
	size_t n = 0;

	if (base)
		n = bundle_delta_compute(envelope_of(base),
					 envelope_of(s->current), steps,
					 BUNDLE_DELTA_STEPS_MAX);
	wire_begin(&w, SYC_PEER_BUNDLE, 3);
	wire_put_u64(&w, n ? FORM_DELTA : FORM_WHOLE);
	wire_put_u64(&w, n ? hash : 0);
	if (n)
		bundle_delta_encode(&w, steps, n);
	else
		wire_put_bytes(&w, s->current->text, s->current->text_len);
	s->window_reply_bytes += wire_bytes(&w).n;
	s->opt.send(s->opt.ctx, to, wire_bytes(&w));
}

static bool receive_pull(struct syc_bundle_sync *s, uint64_t from,
			 struct syc_bytes msg)
{
	struct wire_in w;
	uint64_t version, hash;

	wire_open(&w, msg);
	version = wire_u64(&w);
	hash = wire_u64(&w);
	if (!wire_close(&w))
		return false;
	if (s->current && s->current->version > version && take_reply_quota(s))
		send_bundle(s, from, hash);
	return true;
}

/*
 * Reads the envelope from a bundle message. Returns false when its form is
 * unknown, when it is too long, or when the base of a delta is not the current
 * envelope.
 */
static bool decode_envelope(struct syc_bundle_sync *s, struct wire_in *w,
			    struct buf *text)
{
	uint64_t form = wire_u64(w);
	uint64_t hash = wire_u64(w);
	struct syc_bytes whole;

	if (form == FORM_DELTA)
		return s->current &&
		       sync_envelope_hash(envelope_of(s->current)) == hash &&
		       bundle_delta_apply(w, envelope_of(s->current), text,
					  SYC_BUNDLE_BYTES_MAX);
	whole = wire_view(w);
	if (form != FORM_WHOLE || whole.n > SYC_BUNDLE_BYTES_MAX)
		return false;
	buf_add(text, whole.p, whole.n);
	return true;
}

static void adopt_or_refuse_envelope(struct syc_bundle_sync *s, uint64_t from,
				     struct syc_bytes text)
{
	char err[256] = "";

	if (sync_try_adopt(s, text, err, sizeof(err)))
		return;
	/* If the store delivered this text first, the peer is not at fault. */
	if (s->current && text.n == s->current->text_len &&
	    !memcmp(text.p, s->current->text, text.n)) {
		back_off_peer(s, from, SYNC_PULL_TIMEOUT_MS);
		return;
	}
	sync_report_refusal(s, "peer %016llx: %s", (unsigned long long)from,
			    err);
	back_off_peer(s, from, SYNC_PEER_BACKOFF_MS);
}

static bool receive_bundle(struct syc_bundle_sync *s, uint64_t from,
			   struct syc_bytes msg)
{
	auto_buf struct buf text = {0};
	struct wire_in w;
	bool is_decoded;

	if (from != s->pull_from)
		return true;
	s->pull_from = 0;
	wire_open(&w, msg);
	is_decoded = decode_envelope(s, &w, &text);
	if (!wire_close(&w)) {
		back_off_peer(s, from, SYNC_PEER_BACKOFF_MS);
		return false;
	}
	s->wants_whole_text = !is_decoded;
	if (is_decoded)
		adopt_or_refuse_envelope(
			s, from, (struct syc_bytes){text.data, text.len});
	return true;
}

bool syc_bundle_sync_receive(struct syc_bundle_sync *s, int64_t now,
			     uint64_t from, struct syc_bytes msg)
{
	s->now = now;
	switch (wire_type(msg)) {
	case SYC_PEER_BUNDLE_REQUEST:
		return receive_pull(s, from, msg);
	case SYC_PEER_BUNDLE:
		return receive_bundle(s, from, msg);
	default:
		return false;
	}
}
