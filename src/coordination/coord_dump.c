/* Writes the state of the coordination as JSON, for operators. */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

#include "coordination/coord_state.h"

static json_t *encode_id(uint64_t id)
{
	char text[17];

	snprintf(text, sizeof(text), "%016" PRIx64, id);
	return json_string(text);
}

static json_t *dump_peer(const struct syc_coord *c, const struct peer *p)
{
	return json_pack("{s:o,s:s,s:s,s:s,s:b,s:b,s:b,s:b,s:I,s:I,s:I}", "id",
			 encode_id(p->instance.id), "name", p->instance.name,
			 "domain", p->instance.domain, "rack", p->instance.rack,
			 "link_up", (int)p->is_link_up, "suspect",
			 (int)p->is_suspected, "leaving", (int)p->is_leaving,
			 "listed_gone", (int)p->is_listed_gone, "silent_ms",
			 (json_int_t)(c->now - p->last_message_at), "epoch",
			 (json_int_t)p->epoch, "bundle_version",
			 (json_int_t)p->bundle_version);
}

static json_t *dump_slice(const struct syc_coord *c, unsigned slice_index)
{
	const struct map_slice *slice = &c->map.slices[slice_index];

	return json_pack("{s:i,s:o,s:o,s:I,s:I,s:I,s:b,s:b}", "slice",
			 (int)slice_index, "primary", encode_id(slice->primary),
			 "backup", encode_id(slice->backup), "since",
			 (json_int_t)slice->entry_epoch, "held",
			 (json_int_t)slice->primary_epoch, "lost",
			 (json_int_t)slice->loss_epoch, "copying",
			 (int)c->copies[slice_index].is_active, "complete_here",
			 (int)(c->complete_slices >> slice_index & 1));
}

static json_t *dump_claims(const struct syc_coord *c)
{
	return json_pack("{s:I,s:I,s:I,s:I}", "held",
			 (json_int_t)c->claims.table.used, "max",
			 (json_int_t)c->opt.claims_max, "waiting",
			 (json_int_t)c->claims.n_waiting, "ends_untold",
			 (json_int_t)c->claims.n_ends);
}

static json_t *dump_stats(const struct coord_stats *st)
{
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{"heartbeats", st->heartbeats},
		{"heartbeat_bytes", st->heartbeat_bytes},
		{"map_messages", st->map_msgs},
		{"map_bytes", st->map_bytes},
		{"claim_messages", st->claim_msgs},
		{"claim_bytes", st->claim_bytes},
		{"copy_messages", st->copy_msgs},
		{"copy_bytes", st->copy_bytes},
		{"store_reads", st->store_gets},
		{"store_writes", st->store_writes},
		{"store_watches", st->store_watches},
		{"map_changes", st->map_changes},
	};
	json_t *object = json_object();
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(*rows); i++)
		json_object_set_new(object, rows[i].name,
				    json_integer((json_int_t)rows[i].value));
	return object;
}

char *coord_dump(const struct syc_coord *c)
{
	json_t *peers = json_array(), *slices = json_array(), *root;
	char *text;
	size_t i;

	for (i = 0; i < c->peers.n; i++)
		json_array_append_new(peers, dump_peer(c, c->peers.list[i]));
	for (i = 0; c->map.epoch && i < SYC_SLICES; i++)
		json_array_append_new(slices, dump_slice(c, (unsigned)i));
	root = json_pack(
		"{s:o,s:s,s:s,s:I,s:b,s:b,s:b,s:b,s:o,s:o,s:o,s:o}", "id",
		encode_id(c->opt.self.id), "name", c->opt.self.name, "domain",
		c->opt.self.domain, "epoch", (json_int_t)c->map.epoch, "ready",
		(int)syc_coord_ready(c), "leaving", (int)c->is_leaving,
		"unconfirmed", (int)c->needs_confirmation, "store_reachable",
		(int)c->store.is_reachable, "claims", dump_claims(c), "counts",
		dump_stats(&c->stats), "peers", peers, "slices", slices);
	text = json_dumps(root, JSON_INDENT(1) | JSON_PRESERVE_ORDER);
	json_decref(root);
	return text;
}
