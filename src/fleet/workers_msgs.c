/* Packs and unpacks lists of workers in messages between instances. */
#include <string.h>

#include "fleet/fleet_state.h"
#include "util/alloc.h"

enum {
	WORKER_FIELDS = 10,
	LIST_MAX = 20000, /* workers in one message */
	LIFE_FIELDS = 2 /* numbers of each worker in a list of lives */
};

static void pack_worker(struct wire_out *w, const struct drive_worker *info)
{
	size_t i;

	wire_put_array(w, WORKER_FIELDS);
	wire_put_str(w, info->name);
	wire_put_str(w, info->service);
	wire_put_str(w, info->domain);
	wire_put_str(w, info->addr.ip);
	wire_put_u64(w, info->addr.port);
	wire_put_u64(w, info->cpu_milli);
	wire_put_u64(w, info->memory_mb);
	wire_put_u64(w, info->accelerators);
	wire_put_bool(w, info->leaving);
	wire_put_array(w, info->n_labels);
	for (i = 0; i < info->n_labels; i++)
		wire_put_str(w, info->labels[i]);
}

static void unpack_worker(struct wire_in *w, struct drive_worker *info)
{
	size_t i;

	wire_enter(w, WORKER_FIELDS);
	wire_str(w, info->name, sizeof(info->name));
	wire_str(w, info->service, sizeof(info->service));
	wire_str(w, info->domain, sizeof(info->domain));
	wire_str(w, info->addr.ip, sizeof(info->addr.ip));
	info->addr.port = (uint16_t)wire_u64(w);
	info->cpu_milli = (uint32_t)wire_u64(w);
	info->memory_mb = (uint32_t)wire_u64(w);
	info->accelerators = (uint32_t)wire_u64(w);
	info->leaving = wire_bool(w);
	info->n_labels = wire_enter(w, DRIVE_LABELS_MAX);
	for (i = 0; i < info->n_labels; i++)
		wire_str(w, info->labels[i], SYC_NAME_MAX);
	wire_leave(w);
	wire_leave(w);
	memcpy(info->kind, info->labels[0], sizeof(info->kind));
}

void workers_pack_list(struct wire_out *w, const struct drive_worker *list,
		       size_t n)
{
	size_t i;

	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		pack_worker(w, &list[i]);
}

void workers_pack_lives(struct wire_out *w, const struct drive_worker *list,
			size_t n)
{
	size_t i;

	wire_put_array(w, n * LIFE_FIELDS);
	for (i = 0; i < n; i++) {
		wire_put_i64(w, list[i].born_ms);
		wire_put_u64(w, list[i].cold_ms);
	}
}

void workers_unpack_lives(struct wire_in *w, struct drive_worker *list,
			  uint32_t n)
{
	uint32_t i;

	if (!wire_has_more(w))
		return;
	if (wire_enter(w, LIST_MAX * LIFE_FIELDS) != n * LIFE_FIELDS)
		w->failed = true;
	for (i = 0; i < n && !w->failed; i++) {
		list[i].born_ms = wire_i64(w);
		list[i].cold_ms = (uint32_t)wire_u64(w);
	}
	wire_leave(w);
}

void workers_pack_slots(struct wire_out *w, const struct drive_worker *list,
			size_t n)
{
	size_t i;

	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		wire_put_u64(w, list[i].slots);
}

void workers_unpack_slots(struct wire_in *w, struct drive_worker *list,
			  uint32_t n)
{
	uint32_t i;

	if (!wire_has_more(w))
		return;
	if (wire_enter(w, LIST_MAX) != n)
		w->failed = true;
	for (i = 0; i < n && !w->failed; i++)
		list[i].slots = (uint32_t)wire_u64(w);
	wire_leave(w);
}

struct drive_worker *workers_unpack_list(struct wire_in *w, uint32_t *n)
{
	struct drive_worker *list;
	uint32_t i;

	*n = wire_enter(w, LIST_MAX);
	list = xcalloc(*n + 1, sizeof(*list));
	for (i = 0; i < *n && !w->failed; i++)
		unpack_worker(w, &list[i]);
	wire_leave(w);
	return list;
}
