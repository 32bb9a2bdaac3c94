/* Sends and receives claims, their ends and the acknowledgements. */
#include <string.h>

#include "coordination/coord_state.h"
#include "protocol/wire.h"
#include "util/invariant.h"

/* The first field of an acknowledgement: what it acknowledges. */
enum { ACK_CLAIM = 0, ACK_ENDS };

static void send_counted(struct syc_coord *c, uint64_t to, struct syc_bytes msg)
{
	c->stats.claim_msgs++;
	c->stats.claim_bytes += msg.n;
	coord_send(c, to, msg);
}

void claim_send(struct syc_coord *c, const struct claim *claim)
{
	const struct map_slice *slice = &c->map.slices[claim->slice];
	struct waiting_claim *w = claims_find_waiting(&c->claims, claim);
	auto_wire_out struct wire_out out;

	if (w)
		w->sent_at = c->now;
	wire_begin(&out, SYC_PEER_CLAIM, 4);
	wire_put_u64(&out, slice->entry_epoch);
	wire_put_bytes(&out, claim->key.b, sizeof(claim->key.b));
	wire_put_bytes(&out, claim->digest, sizeof(claim->digest));
	wire_put_u64(&out, claim->serial);
	send_counted(c, slice->backup, wire_bytes(&out));
}

static void send_ack(struct syc_coord *c, uint64_t to, uint64_t entry_epoch,
		     const struct claim *claim, enum claim_ack ack)
{
	auto_wire_out struct wire_out out;

	wire_begin(&out, SYC_PEER_CLAIM_ACK, 5);
	wire_put_u64(&out, ACK_CLAIM);
	wire_put_u64(&out, entry_epoch);
	wire_put_bytes(&out, claim->key.b, sizeof(claim->key.b));
	wire_put_u64(&out, claim->serial);
	wire_put_u64(&out, ack);
	send_counted(c, to, wire_bytes(&out));
}

/* Records a claim of the primary and returns the answer to it. */
static enum claim_ack record_claim(struct syc_coord *c, uint64_t from,
				   const struct claim *received)
{
	struct claim *claim = claims_find(&c->claims, &received->key);

	if (claim && claim->runner != from) {
		if (claim->state == CLAIM_WAITING) {
			invariant(!c->rules.replaced_drops_waiting ||
				  !c->rules.ack_current_entry_only);
			return CLAIM_ACK_ACCEPTED;
		}
		return CLAIM_ACK_CONFLICT;
	}
	if (!claim) {
		if (c->claims.table.used >= c->opt.claims_max)
			return CLAIM_ACK_FULL;
		claim = claims_add(&c->claims, &received->key);
	}
	if (claim->state && received->serial <= claim->serial)
		return CLAIM_ACK_ACCEPTED;
	memcpy(claim->digest, received->digest, sizeof(claim->digest));
	claim->runner = from;
	claim->serial = received->serial;
	claim->state = CLAIM_LIVE;
	claim->updated_at = c->now;
	return CLAIM_ACK_ACCEPTED;
}

/*
 * Returns whether a claim that `from` sent as the primary under `entry_epoch`
 * is to be handled. Requests or sends the map when one side has an older entry.
 */
static bool check_entry_epoch(struct syc_coord *c, uint64_t from,
			      unsigned slice_index, uint64_t entry_epoch)
{
	const struct map_slice *slice = &c->map.slices[slice_index];

	if (slice->entry_epoch == entry_epoch && slice->primary == from &&
	    slice->backup == c->opt.self.id)
		return true;
	if (entry_epoch > slice->entry_epoch)
		map_request(c, from);
	else if (entry_epoch < slice->entry_epoch)
		map_send(c, from);
	return !c->rules.ack_current_entry_only &&
	       entry_epoch < slice->entry_epoch;
}

bool claim_receive(struct syc_coord *c, uint64_t from, struct syc_bytes msg)
{
	struct claim received = {0};
	struct wire_in w;
	uint64_t entry_epoch;

	wire_open(&w, msg);
	entry_epoch = wire_u64(&w);
	wire_fixed(&w, received.key.b, sizeof(received.key.b));
	wire_fixed(&w, received.digest, sizeof(received.digest));
	received.serial = (uint32_t)wire_u64(&w);
	if (!wire_close(&w))
		return false;
	if (check_entry_epoch(c, from, map_slice_of(&received.key),
			      entry_epoch))
		send_ack(c, from, entry_epoch, &received,
			 record_claim(c, from, &received));
	return true;
}

static bool receive_claim_ack(struct syc_coord *c, uint64_t from,
			      struct wire_in *w)
{
	struct syc_claim_key key;
	const struct map_slice *slice;
	uint64_t entry_epoch, serial, ack;

	entry_epoch = wire_u64(w);
	wire_fixed(w, key.b, sizeof(key.b));
	serial = wire_u64(w);
	ack = wire_u64(w);
	if (!wire_close(w) || serial > UINT32_MAX || ack > CLAIM_ACK_CONFLICT)
		return false;
	slice = &c->map.slices[map_slice_of(&key)];
	if ((slice->entry_epoch == entry_epoch && slice->backup == from) ||
	    !c->rules.replaced_drops_waiting)
		claim_serve_receive_ack(c, &key, (uint32_t)serial,
					(unsigned)ack);
	return true;
}

bool claim_receive_ack(struct syc_coord *c, uint64_t from, struct syc_bytes msg)
{
	struct wire_in w;
	uint64_t kind, batch;

	wire_open(&w, msg);
	kind = wire_u64(&w);
	if (kind == ACK_CLAIM)
		return receive_claim_ack(c, from, &w);
	batch = wire_u64(&w);
	if (!wire_close(&w) || kind != ACK_ENDS)
		return false;
	claim_ends_receive_ack(c, from, batch);
	return true;
}

void claim_send_ends_ack(struct syc_coord *c, uint64_t to, uint64_t batch)
{
	auto_wire_out struct wire_out out;

	wire_begin(&out, SYC_PEER_CLAIM_ACK, 2);
	wire_put_u64(&out, ACK_ENDS);
	wire_put_u64(&out, batch);
	send_counted(c, to, wire_bytes(&out));
}

void claim_send_ends(struct syc_coord *c, uint64_t to, uint64_t batch,
		     const struct claim_end *ends, size_t n)
{
	auto_wire_out struct wire_out out;
	size_t i;

	wire_begin(&out, SYC_PEER_CLAIM_END, 2);
	wire_put_u64(&out, batch);
	wire_put_array(&out, n);
	for (i = 0; i < n; i++) {
		wire_put_array(&out, 4);
		wire_put_bytes(&out, ends[i].key.b, sizeof(ends[i].key.b));
		wire_put_u64(&out, ends[i].runner);
		wire_put_u64(&out, ends[i].serial);
		wire_put_u64(&out, ends[i].outcome);
	}
	send_counted(c, to, wire_bytes(&out));
}

static void decode_end(struct wire_in *w, struct claim_end *end)
{
	memset(end, 0, sizeof(*end));
	wire_enter(w, 4);
	wire_fixed(w, end->key.b, sizeof(end->key.b));
	end->runner = wire_u64(w);
	end->serial = (uint32_t)wire_u64(w);
	end->outcome = (uint8_t)wire_u64(w);
	wire_leave(w);
	if (end->outcome < SYC_COMPLETED || end->outcome > SYC_UNKNOWN)
		w->failed = true;
}

bool claim_receive_ends(struct syc_coord *c, uint64_t from,
			struct syc_bytes msg)
{
	static struct claim_end ends[ENDS_PER_MESSAGE];
	struct wire_in w;
	uint64_t batch;
	size_t i, n;
	bool all_recorded = true;

	wire_open(&w, msg);
	batch = wire_u64(&w);
	n = wire_enter(&w, ENDS_PER_MESSAGE);
	for (i = 0; i < n && !w.failed; i++)
		decode_end(&w, &ends[i]);
	wire_leave(&w);
	if (!wire_close(&w))
		return false;
	for (i = 0; i < n; i++)
		all_recorded = claim_ends_apply(c, &ends[i]) && all_recorded;
	if (all_recorded)
		claim_send_ends_ack(c, from, batch);
	return true;
}
