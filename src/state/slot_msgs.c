#include "state/slot_msgs.h"

#include <string.h>

static void begin_message(struct wire_out *w, enum syc_peer_type type,
			  size_t fields, enum slot_op op, const char *service)
{
	wire_begin(w, type, fields + 2);
	wire_put_u64(w, op);
	wire_put_str(w, service);
}

static uint32_t read_u32(struct wire_in *w)
{
	uint64_t v = wire_u64(w);

	if (v > UINT32_MAX)
		w->failed = true;
	return (uint32_t)v;
}

/* Reads the type, the operation and the service. */
static void read_head(struct wire_in *w, struct syc_bytes msg,
		      enum syc_peer_type type, enum slot_op op, char *service)
{
	if (wire_open(w, msg) != (int)type || wire_u64(w) != op)
		w->failed = true;
	wire_str(w, service, SYC_NAME_MAX);
}

int slot_message_op(struct syc_bytes msg)
{
	struct wire_in w;
	uint64_t op;

	wire_open(&w, msg);
	op = wire_u64(&w);
	if (!wire_close(&w) || op > SLOT_OP_HANDOVER)
		return -1;
	return (int)op;
}

static void put_ids(struct wire_out *w, const struct buf *ids)
{
	size_t i, n = SLOT_COUNT(ids, uint64_t);

	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		wire_put_u64(w, SLOT_LIST(ids, uint64_t)[i]);
}

static void get_ids(struct wire_in *w, struct buf *ids)
{
	uint32_t n = wire_enter(w, SLOT_IDS_MAX);
	uint64_t id;

	while (n--) {
		id = wire_u64(w);
		buf_add(ids, &id, sizeof(id));
	}
	wire_leave(w);
}

static void put_demand(struct wire_out *w, const struct slot_demand *demand)
{
	wire_put_array(w, 5);
	wire_put_str(w, demand->caller);
	wire_put_u64(w, demand->tasks);
	wire_put_u64(w, demand->cpus);
	wire_put_u64(w, demand->memory_mb);
	wire_put_u64(w, demand->accelerators);
}

static void get_demand(struct wire_in *w, struct buf *demands)
{
	struct slot_demand demand;

	wire_enter(w, 5);
	wire_str(w, demand.caller, sizeof(demand.caller));
	demand.tasks = read_u32(w);
	demand.cpus = read_u32(w);
	demand.memory_mb = read_u32(w);
	demand.accelerators = read_u32(w);
	wire_leave(w);
	buf_add(demands, &demand, sizeof(demand));
}

/* Writes held grants as a flat array: id, demand index, id and so on. */
static void put_held(struct wire_out *w, const struct buf *held)
{
	size_t i, n = SLOT_COUNT(held, struct slot_held);

	wire_put_array(w, n * 2);
	for (i = 0; i < n; i++) {
		wire_put_u64(w, SLOT_LIST(held, struct slot_held)[i].id);
		wire_put_u64(w,
			     SLOT_LIST(held, struct slot_held)[i].demand_index);
	}
}

static void get_held(struct wire_in *w, struct buf *held, size_t n_demands)
{
	uint32_t n = wire_enter(w, SLOT_IDS_MAX * 2);
	struct slot_held h;

	for (; n > 1; n -= 2) {
		memset(&h, 0, sizeof(h));
		h.id = wire_u64(w);
		h.demand_index = read_u32(w);
		if (h.demand_index >= n_demands)
			w->failed = true;
		buf_add(held, &h, sizeof(h));
	}
	if (n)
		w->failed = true;
	wire_leave(w);
}

void slot_request_write(struct wire_out *w, const struct slot_request *m)
{
	size_t i, n = SLOT_COUNT(&m->demands, struct slot_demand);

	begin_message(w, SYC_PEER_SLOT_REQUEST, 6, SLOT_OP_SLOTS, m->service);
	wire_put_u64(w, m->seq);
	wire_put_u64(w, m->grant_seq);
	wire_put_i64(w, m->sent_at);
	wire_put_u64(w, m->time_limit_ms);
	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		put_demand(w, &SLOT_LIST(&m->demands, struct slot_demand)[i]);
	put_held(w, &m->held);
}

bool slot_request_read(struct syc_bytes msg, struct slot_request *m)
{
	struct wire_in w;
	uint32_t n;

	memset(m, 0, sizeof(*m));
	read_head(&w, msg, SYC_PEER_SLOT_REQUEST, SLOT_OP_SLOTS, m->service);
	m->seq = wire_u64(&w);
	m->grant_seq = wire_u64(&w);
	m->sent_at = wire_i64(&w);
	m->time_limit_ms = read_u32(&w);
	n = wire_enter(&w, SLOT_CALLERS_MAX);
	while (n--)
		get_demand(&w, &m->demands);
	wire_leave(&w);
	get_held(&w, &m->held, SLOT_COUNT(&m->demands, struct slot_demand));
	return wire_close(&w);
}

static void put_new_grant(struct wire_out *w, const struct slot_new_grant *g)
{
	wire_put_array(w, 4);
	wire_put_u64(w, g->id);
	wire_put_u64(w, g->width);
	wire_put_str(w, g->target);
	wire_put_str(w, g->caller);
}

static void get_new_grant(struct wire_in *w, struct buf *list)
{
	struct slot_new_grant g;

	memset(&g, 0, sizeof(g));
	wire_enter(w, 4);
	g.id = wire_u64(w);
	g.width = read_u32(w);
	wire_str(w, g.target, sizeof(g.target));
	wire_str(w, g.caller, sizeof(g.caller));
	wire_leave(w);
	buf_add(list, &g, sizeof(g));
}

static void put_quota(struct wire_out *w, const struct slot_quota *q)
{
	wire_put_array(w, 2);
	wire_put_str(w, q->caller);
	wire_put_u64(w, q->slots);
}

static void get_quota(struct wire_in *w, struct buf *list)
{
	struct slot_quota q;

	wire_enter(w, 2);
	wire_str(w, q.caller, sizeof(q.caller));
	q.slots = read_u32(w);
	wire_leave(w);
	buf_add(list, &q, sizeof(q));
}

void slot_grant_write(struct wire_out *w, const struct slot_grant *m)
{
	size_t i, n;

	begin_message(w, SYC_PEER_SLOT_GRANT, 7, SLOT_OP_SLOTS, m->service);
	wire_put_u64(w, m->seq);
	wire_put_u64(w, m->echo_seq);
	wire_put_i64(w, m->echo_sent_at);
	wire_put_u64(w, m->slots_free);
	put_ids(w, &m->not_renewed);
	n = SLOT_COUNT(&m->quotas, struct slot_quota);
	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		put_quota(w, &SLOT_LIST(&m->quotas, struct slot_quota)[i]);
	n = SLOT_COUNT(&m->new_grants, struct slot_new_grant);
	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		put_new_grant(w, &SLOT_LIST(&m->new_grants,
					    struct slot_new_grant)[i]);
}

bool slot_grant_read(struct syc_bytes msg, struct slot_grant *m)
{
	struct wire_in w;
	uint32_t n;

	memset(m, 0, sizeof(*m));
	read_head(&w, msg, SYC_PEER_SLOT_GRANT, SLOT_OP_SLOTS, m->service);
	m->seq = wire_u64(&w);
	m->echo_seq = wire_u64(&w);
	m->echo_sent_at = wire_i64(&w);
	m->slots_free = read_u32(&w);
	get_ids(&w, &m->not_renewed);
	n = wire_enter(&w, SLOT_CALLERS_MAX);
	while (n--)
		get_quota(&w, &m->quotas);
	wire_leave(&w);
	n = wire_enter(&w, SLOT_IDS_MAX);
	while (n--)
		get_new_grant(&w, &m->new_grants);
	wire_leave(&w);
	return wire_close(&w);
}

void slot_return_write(struct wire_out *w, const struct slot_return *m)
{
	begin_message(w, SYC_PEER_SLOT_RETURN, 3, SLOT_OP_SLOTS, m->service);
	wire_put_u64(w, m->seq);
	put_ids(w, &m->ids);
	put_ids(w, &m->failed_ids);
}

bool slot_return_read(struct syc_bytes msg, struct slot_return *m)
{
	struct wire_in w;

	memset(m, 0, sizeof(*m));
	read_head(&w, msg, SYC_PEER_SLOT_RETURN, SLOT_OP_SLOTS, m->service);
	m->seq = wire_u64(&w);
	get_ids(&w, &m->ids);
	get_ids(&w, &m->failed_ids);
	return wire_close(&w);
}

void slot_handover_request_write(struct wire_out *w,
				 const struct slot_handover_request *m)
{
	size_t i, n = SLOT_COUNT(&m->targets, struct slot_target_name);

	begin_message(w, SYC_PEER_SLOT_REQUEST, 2, SLOT_OP_HANDOVER,
		      m->service);
	wire_put_u64(w, m->nonce);
	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		wire_put_str(w,
			     SLOT_LIST(&m->targets, struct slot_target_name)[i]
				     .name);
}

bool slot_handover_request_read(struct syc_bytes msg,
				struct slot_handover_request *m)
{
	struct slot_target_name name;
	struct wire_in w;
	uint32_t n;

	memset(m, 0, sizeof(*m));
	read_head(&w, msg, SYC_PEER_SLOT_REQUEST, SLOT_OP_HANDOVER, m->service);
	m->nonce = wire_u64(&w);
	n = wire_enter(&w, SLOT_TARGETS_MAX);
	while (n--) {
		wire_str(&w, name.name, sizeof(name.name));
		buf_add(&m->targets, &name, sizeof(name));
	}
	wire_leave(&w);
	return wire_close(&w);
}

static void put_handover_target(struct wire_out *w,
				const struct slot_handover_target *h)
{
	wire_put_array(w, 3);
	wire_put_str(w, h->name);
	wire_put_bool(w, h->lists_busy);
	wire_put_u64(w, h->uncertain_ms);
}

static void get_handover_target(struct wire_in *w, struct buf *list)
{
	struct slot_handover_target h;

	memset(&h, 0, sizeof(h));
	wire_enter(w, 3);
	wire_str(w, h.name, sizeof(h.name));
	h.lists_busy = wire_bool(w);
	h.uncertain_ms = read_u32(w);
	wire_leave(w);
	buf_add(list, &h, sizeof(h));
}

static void put_busy(struct wire_out *w, const struct slot_busy *b)
{
	wire_put_array(w, 5);
	wire_put_u64(w, b->id);
	wire_put_u64(w, b->holder);
	wire_put_u64(w, b->target_index);
	wire_put_u64(w, b->width);
	wire_put_u64(w, b->left_ms);
}

static void get_busy(struct wire_in *w, struct buf *list, size_t n_targets)
{
	struct slot_busy b;

	memset(&b, 0, sizeof(b));
	wire_enter(w, 5);
	b.id = wire_u64(w);
	b.holder = wire_u64(w);
	b.target_index = read_u32(w);
	b.width = read_u32(w);
	b.left_ms = read_u32(w);
	wire_leave(w);
	if (b.target_index >= n_targets)
		w->failed = true;
	buf_add(list, &b, sizeof(b));
}

void slot_handover_reply_write(struct wire_out *w,
			       const struct slot_handover_reply *m)
{
	size_t i, n = SLOT_COUNT(&m->targets, struct slot_handover_target);

	begin_message(w, SYC_PEER_SLOT_GRANT, 3, SLOT_OP_HANDOVER, m->service);
	wire_put_u64(w, m->nonce);
	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		put_handover_target(w,
				    &SLOT_LIST(&m->targets,
					       struct slot_handover_target)[i]);
	n = SLOT_COUNT(&m->busy, struct slot_busy);
	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		put_busy(w, &SLOT_LIST(&m->busy, struct slot_busy)[i]);
}

bool slot_handover_reply_read(struct syc_bytes msg,
			      struct slot_handover_reply *m)
{
	struct wire_in w;
	uint32_t n;

	memset(m, 0, sizeof(*m));
	read_head(&w, msg, SYC_PEER_SLOT_GRANT, SLOT_OP_HANDOVER, m->service);
	m->nonce = wire_u64(&w);
	n = wire_enter(&w, SLOT_TARGETS_MAX);
	while (n--)
		get_handover_target(&w, &m->targets);
	wire_leave(&w);
	n = wire_enter(&w, SLOT_IDS_MAX);
	while (n--)
		get_busy(&w, &m->busy,
			 SLOT_COUNT(&m->targets, struct slot_handover_target));
	wire_leave(&w);
	return wire_close(&w);
}

void slot_request_free(struct slot_request *m)
{
	buf_free(&m->demands);
	buf_free(&m->held);
}

void slot_grant_free(struct slot_grant *m)
{
	buf_free(&m->not_renewed);
	buf_free(&m->quotas);
	buf_free(&m->new_grants);
}

void slot_return_free(struct slot_return *m)
{
	buf_free(&m->ids);
	buf_free(&m->failed_ids);
}

void slot_handover_request_free(struct slot_handover_request *m)
{
	buf_free(&m->targets);
}

void slot_handover_reply_free(struct slot_handover_reply *m)
{
	buf_free(&m->targets);
	buf_free(&m->busy);
}
