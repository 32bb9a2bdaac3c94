/*
 * Packs and unpacks lost runs, for peers and for the store. The incarnations of
 * their workers follow the list, as earlier versions refuse a longer row.
 */
#include "fleet/fleet_state.h"

enum { LOSS_FIELDS = 13 };

static void pack_loss(struct wire_out *w, const struct loss *x, int64_t now)
{
	wire_put_array(w, LOSS_FIELDS);
	wire_put_str(w, x->task.job);
	wire_put_u64(w, x->task.step);
	wire_put_u64(w, x->task.index);
	wire_put_u64(w, x->run);
	wire_put_str(w, x->worker);
	wire_put_str(w, x->addr.ip);
	wire_put_u64(w, x->addr.port);
	wire_put_u64(w, x->cause);
	wire_put_bool(w, x->alone);
	wire_put_bool(w, x->newest);
	wire_put_bool(w, x->refused);
	wire_put_bool(w, x->seen);
	wire_put_u64(w, now > x->at ? (uint64_t)(now - x->at) : 0);
}

static void unpack_loss(struct wire_in *w, struct loss *x, int64_t now)
{
	*x = (struct loss){0};
	wire_enter(w, LOSS_FIELDS);
	wire_str(w, x->task.job, sizeof(x->task.job));
	x->task.step = (uint32_t)wire_u64(w);
	x->task.index = (uint32_t)wire_u64(w);
	x->run = (uint32_t)wire_u64(w);
	wire_str(w, x->worker, sizeof(x->worker));
	wire_str(w, x->addr.ip, sizeof(x->addr.ip));
	x->addr.port = (uint16_t)wire_u64(w);
	x->cause = (enum loss_cause)wire_u64(w);
	x->alone = wire_bool(w);
	x->newest = wire_bool(w);
	x->refused = wire_bool(w);
	x->seen = wire_bool(w);
	x->at = now - (int64_t)wire_u64(w);
	wire_leave(w);
	if (x->cause > LOSS_OTHER)
		w->failed = true;
}

void losses_pack_list(struct wire_out *w, const struct loss *const *list,
		      size_t n, int64_t now)
{
	size_t i;

	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		pack_loss(w, list[i], now);
	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		wire_put_i64(w, list[i]->born_ms);
}

/* Earlier versions send no list of incarnations. */
static void unpack_incarnations(struct wire_in *w, struct loss *list,
				uint32_t n)
{
	uint32_t i;

	if (!wire_has_more(w))
		return;
	if (wire_enter(w, LOSSES_LIST_MAX) != n)
		w->failed = true;
	for (i = 0; i < n && !w->failed; i++)
		list[i].born_ms = wire_i64(w);
	wire_leave(w);
}

void losses_unpack_list(struct wire_in *w, struct losses *l, int64_t now)
{
	struct loss list[LOSSES_LIST_MAX];
	uint32_t i, n;

	n = wire_enter(w, LOSSES_LIST_MAX);
	for (i = 0; i < n && !w->failed; i++)
		unpack_loss(w, &list[i], now);
	wire_leave(w);
	unpack_incarnations(w, list, n);
	for (i = 0; i < n && !w->failed; i++)
		losses_add(l, now, &list[i]);
}
