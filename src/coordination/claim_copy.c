/*
 * Copies the claims of a slice from the primary to its new backup, one
 * message at a time. The backup's copy is complete after the last message.
 */
#include <string.h>

#include "coordination/coord_state.h"
#include "protocol/wire.h"

enum { COPY_FIELDS = 7 };

static bool belongs_in_copy(const struct claim *claim, unsigned slice_index)
{
	return claim->slice == slice_index && claim->state != CLAIM_WAITING;
}

/*
 * Counts the claims of the slice in the chunk that begins at table position
 * `pos`. Sets `*end` to the position of the next chunk.
 */
static size_t count_chunk(const struct syc_coord *c, unsigned slice_index,
			  uint32_t pos, uint32_t *end)
{
	uint64_t handle;
	const struct claim *claim;
	size_t n = 0;

	*end = pos;
	while (n < COPY_CHUNK_CLAIMS &&
	       (claim = table_next(&c->claims.table, end, &handle)))
		n += belongs_in_copy(claim, slice_index);
	return n;
}

static void encode_claim(struct wire_out *w, const struct claim *claim,
			 int64_t now)
{
	wire_put_array(w, COPY_FIELDS);
	wire_put_bytes(w, claim->key.b, sizeof(claim->key.b));
	wire_put_bytes(w, claim->digest, sizeof(claim->digest));
	wire_put_u64(w, claim->runner);
	wire_put_u64(w, claim->serial);
	wire_put_u64(w, claim->state);
	wire_put_u64(w, claim->outcome);
	wire_put_u64(w, (uint64_t)(now - claim->updated_at));
}

static void encode_chunk(struct syc_coord *c, struct wire_out *w,
			 unsigned slice_index, const struct slice_copy *copy,
			 size_t n)
{
	uint32_t pos = copy->table_pos;
	const struct claim *claim;
	uint64_t handle;

	wire_put_array(w, n);
	while (n && (claim = table_next(&c->claims.table, &pos, &handle))) {
		if (!belongs_in_copy(claim, slice_index))
			continue;
		encode_claim(w, claim, c->now);
		n--;
	}
}

static void send_chunk(struct syc_coord *c, unsigned slice_index)
{
	const struct map_slice *slice = &c->map.slices[slice_index];
	struct slice_copy *copy = &c->copies[slice_index];
	auto_wire_out struct wire_out w;
	uint32_t end;
	size_t n = count_chunk(c, slice_index, copy->table_pos, &end);

	wire_begin(&w, SYC_PEER_CLAIM_COPY, 6);
	wire_put_u64(&w, slice_index);
	wire_put_u64(&w, slice->entry_epoch);
	wire_put_u64(&w, copy->chunk_number);
	wire_put_u64(&w, end);
	wire_put_bool(&w, n < COPY_CHUNK_CLAIMS);
	encode_chunk(c, &w, slice_index, copy, n);
	copy->sent_at = c->now;
	c->stats.copy_msgs++;
	c->stats.copy_bytes += wire_bytes(&w).n;
	coord_send(c, slice->backup, wire_bytes(&w));
}

/* Restarts the copies of the slices whose entry changed. */
void claim_copy_map_changed(struct syc_coord *c, const struct map *old)
{
	unsigned s;

	for (s = 0; s < SYC_SLICES; s++) {
		const struct map_slice *slice = &c->map.slices[s];

		if (!memcmp(slice, &old->slices[s], sizeof(*slice)))
			continue;
		memset(&c->copies[s], 0, sizeof(c->copies[s]));
		c->expected_chunk[s] = 0;
		if (slice->primary != c->opt.self.id || !slice->backup)
			continue;
		c->copies[s].is_active = true;
		send_chunk(c, s);
	}
}

void claim_copy_tick(struct syc_coord *c)
{
	unsigned s;

	for (s = 0; s < SYC_SLICES; s++)
		if (c->copies[s].is_active &&
		    c->now - c->copies[s].sent_at >= RESEND_INTERVAL_MS)
			send_chunk(c, s);
}

/* The fields of a copy message before its claims. An ack repeats them. */
struct copy_header {
	uint64_t slice;
	uint64_t entry_epoch;
	uint64_t chunk_number;
	uint64_t next_pos; /* of the next chunk in the sender's table */
	bool is_last;
};

static void decode_header(struct wire_in *w, struct copy_header *header)
{
	header->slice = wire_u64(w);
	header->entry_epoch = wire_u64(w);
	header->chunk_number = wire_u64(w);
	header->next_pos = wire_u64(w);
	header->is_last = wire_bool(w);
	if (header->slice >= SYC_SLICES || header->next_pos > UINT32_MAX)
		w->failed = true;
}

/*
 * Sends the next chunk. A chunk that was sent twice may have held more claims
 * the second time, so the next one begins where the acknowledged one ended.
 */
bool claim_copy_receive_ack(struct syc_coord *c, uint64_t from,
			    struct syc_bytes msg)
{
	struct copy_header header;
	struct slice_copy *copy;
	struct wire_in w;

	wire_open(&w, msg);
	decode_header(&w, &header);
	if (!wire_close(&w))
		return false;
	copy = &c->copies[header.slice];
	if (!copy->is_active ||
	    c->map.slices[header.slice].entry_epoch != header.entry_epoch ||
	    c->map.slices[header.slice].backup != from ||
	    copy->chunk_number != header.chunk_number)
		return true;
	copy->is_active = !header.is_last;
	if (header.is_last)
		return true;
	copy->chunk_number++;
	copy->table_pos = (uint32_t)header.next_pos;
	send_chunk(c, (unsigned)header.slice);
	return true;
}

static bool decode_claim(struct wire_in *w, struct claim *claim, int64_t now)
{
	uint64_t state, outcome, age;

	memset(claim, 0, sizeof(*claim));
	wire_enter(w, COPY_FIELDS);
	wire_fixed(w, claim->key.b, sizeof(claim->key.b));
	wire_fixed(w, claim->digest, sizeof(claim->digest));
	claim->runner = wire_u64(w);
	claim->serial = (uint32_t)wire_u64(w);
	state = wire_u64(w);
	outcome = wire_u64(w);
	age = wire_u64(w);
	wire_leave(w);
	if ((state != CLAIM_LIVE && state != CLAIM_ENDED) ||
	    outcome > SYC_UNKNOWN || age > INT32_MAX)
		w->failed = true;
	claim->state = (uint8_t)state;
	claim->outcome = (uint8_t)outcome;
	claim->updated_at = now - (int64_t)age;
	return !w->failed;
}

/*
 * Whether `claim` must be kept instead of `copied`: this instance is its
 * runner, or both have the same runner and `claim` has ended or has the later
 * serial.
 */
static bool keeps_held_claim(const struct syc_coord *c,
			     const struct claim *claim,
			     const struct claim *copied)
{
	if (claim->runner == c->opt.self.id)
		return true;
	return claim->runner == copied->runner &&
	       (claim->serial > copied->serial || claim->state == CLAIM_ENDED);
}

static void store_copied_claim(struct syc_coord *c, const struct claim *copied)
{
	struct claim *claim = claims_find(&c->claims, &copied->key);

	if (claim && keeps_held_claim(c, claim, copied))
		return;
	if (!claim)
		claim = claims_add(&c->claims, &copied->key);
	memcpy(claim->digest, copied->digest, sizeof(claim->digest));
	claim->runner = copied->runner;
	claim->serial = copied->serial;
	claim->state = copied->state;
	claim->outcome = copied->outcome;
	claim->updated_at = copied->updated_at;
}

static void send_copy_ack(struct syc_coord *c, uint64_t to,
			  const struct copy_header *header)
{
	auto_wire_out struct wire_out w;

	wire_begin(&w, SYC_PEER_CLAIM_COPY_ACK, 5);
	wire_put_u64(&w, header->slice);
	wire_put_u64(&w, header->entry_epoch);
	wire_put_u64(&w, header->chunk_number);
	wire_put_u64(&w, header->next_pos);
	wire_put_bool(&w, header->is_last);
	c->stats.copy_msgs++;
	c->stats.copy_bytes += wire_bytes(&w).n;
	coord_send(c, to, wire_bytes(&w));
}

/*
 * Returns whether this instance expects this chunk as the backup of the entry.
 * Requests or sends the map when one side has an older entry.
 */
static bool check_header(struct syc_coord *c, uint64_t from,
			 const struct copy_header *header)
{
	const struct map_slice *slice = &c->map.slices[header->slice];

	if (slice->entry_epoch < header->entry_epoch)
		map_request(c, from);
	else if (slice->entry_epoch > header->entry_epoch)
		map_send(c, from);
	return slice->entry_epoch == header->entry_epoch &&
	       slice->primary == from && slice->backup == c->opt.self.id &&
	       header->chunk_number <= c->expected_chunk[header->slice];
}

bool claim_copy_receive(struct syc_coord *c, uint64_t from,
			struct syc_bytes msg)
{
	static struct claim chunk[COPY_CHUNK_CLAIMS];
	struct copy_header header;
	struct wire_in w;
	size_t i, n;

	wire_open(&w, msg);
	decode_header(&w, &header);
	n = wire_enter(&w, COPY_CHUNK_CLAIMS);
	for (i = 0; i < n && decode_claim(&w, &chunk[i], c->now); i++)
		if (map_slice_of(&chunk[i].key) != header.slice)
			w.failed = true;
	wire_leave(&w);
	if (!wire_close(&w))
		return false;
	if (!check_header(c, from, &header))
		return true;
	for (i = 0; i < n; i++)
		store_copied_claim(c, &chunk[i]);
	if (header.chunk_number == c->expected_chunk[header.slice])
		c->expected_chunk[header.slice]++;
	if (header.is_last)
		c->complete_slices |= 1ULL << header.slice;
	send_copy_ack(c, from, &header);
	return true;
}
