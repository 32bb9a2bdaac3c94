/* Counts of starts, and the control requests of a target stand-in. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "target.h"

struct tally_slot {
	uint64_t name_hash; /* zero: the slot is free */
	uint64_t count;
};

/* FNV-1a, which distinguishes the names of a test well enough. */
static uint64_t hash_name(const void *p, size_t n)
{
	const unsigned char *b = p;
	uint64_t h = 0xcbf29ce484222325ULL;

	while (n--)
		h = (h ^ *b++) * 0x100000001b3ULL;
	return h ? h : 1;
}

static struct tally_slot *find_slot(struct tally_slot *slots, size_t cap,
				    uint64_t name_hash)
{
	size_t i = (name_hash ^ (name_hash >> 29)) & (cap - 1);

	while (slots[i].name_hash && slots[i].name_hash != name_hash)
		i = (i + 1) & (cap - 1);
	return &slots[i];
}

static void grow_tally(struct tally *t)
{
	size_t cap = t->cap ? 2 * t->cap : 1024, i;
	struct tally_slot *slots = calloc(cap, sizeof(*slots));

	if (!slots)
		abort();
	for (i = 0; i < t->cap; i++)
		if (t->slots[i].name_hash)
			*find_slot(slots, cap,
				   t->slots[i].name_hash) = t->slots[i];
	free(t->slots);
	t->slots = slots;
	t->cap = cap;
}

void tally_add(struct tally *t, const void *name, size_t n)
{
	struct tally_slot *slot;

	if (2 * t->distinct >= t->cap)
		grow_tally(t);
	slot = find_slot(t->slots, t->cap, hash_name(name, n));
	if (!slot->name_hash) {
		slot->name_hash = hash_name(name, n);
		t->distinct++;
	}
	slot->count++;
	t->total++;
	if (slot->count > t->most)
		t->most = slot->count;
}

static json_t *tally_json(const struct tally *t)
{
	return json_pack("{s:I,s:I,s:I}", "total", (json_int_t)t->total,
			 "distinct", (json_int_t)t->distinct, "most",
			 (json_int_t)t->most);
}

static json_t *target_json(const struct target *t)
{
	return json_pack("{s:i,s:I,s:I,s:I,s:I,s:I}", "port", t->port, "starts",
			 (json_int_t)t->starts, "refused",
			 (json_int_t)t->refused, "starts_leaving",
			 (json_int_t)t->starts_leaving, "running",
			 (json_int_t)t->running, "most_running",
			 (json_int_t)t->most_running);
}

static enum MHD_Result reply_counts(struct target_request *r)
{
	struct targets *all = r->target->all;
	json_t *list = json_array();
	enum MHD_Result res;
	uint64_t starts = 0;
	char *text;
	json_t *doc;
	int i;

	for (i = 0; i < all->n; i++) {
		starts += all->target[i].starts;
		json_array_append_new(list, target_json(&all->target[i]));
	}
	doc = json_pack("{s:I,s:o,s:o,s:o}", "starts", (json_int_t)starts,
			"tasks", tally_json(&all->tasks), "bodies",
			tally_json(&all->bodies), "targets", list);
	text = json_dumps(doc, JSON_INDENT(1));
	res = target_reply(r, 200, text, strlen(text), false);
	free(text);
	json_decref(doc);
	return res;
}

static void set_bool(struct MHD_Connection *c, const char *name, bool *knob)
{
	const char *val = MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND,
						      name);

	if (val)
		*knob = atoi(val) != 0;
}

static void set_long(struct MHD_Connection *c, const char *name, long *knob)
{
	const char *val = MHD_lookup_connection_value(c, MHD_GET_ARGUMENT_KIND,
						      name);

	if (val)
		*knob = atol(val);
}

static void set_knobs(struct MHD_Connection *c, struct target_knobs *k)
{
	set_long(c, "run_ms", &k->run_ms);
	set_long(c, "slots", &k->slots);
	set_bool(c, "refuse", &k->refuse);
	set_bool(c, "fail", &k->fail);
	set_bool(c, "hang", &k->hang);
	set_bool(c, "die", &k->die);
	set_bool(c, "garbage", &k->garbage);
	set_bool(c, "leaving", &k->leaving);
}

enum MHD_Result target_control(struct target_request *r, const char *method,
			       const char *path)
{
	struct targets *all = r->target->all;
	bool to_all = false;
	int i;

	if (!strcmp(path, "/standin/counts") && !strcmp(method, "GET"))
		return reply_counts(r);
	if (strcmp(path, "/standin/knobs") || strcmp(method, "PUT"))
		return target_reply(r, 404, "", 0, false);
	set_bool(r->conn, "all", &to_all);
	for (i = 0; i < all->n; i++)
		if (to_all || &all->target[i] == r->target)
			set_knobs(r->conn, &all->target[i].knobs);
	return target_reply(r, 200, "ok\n", 3, false);
}
