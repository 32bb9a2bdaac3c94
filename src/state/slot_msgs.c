#include "state/slot_msgs.h"

#include <string.h>

static void begin(struct wire_out *w, enum syc_peer_type type, size_t fields,
		  enum slot_op op, const char *service)
{
	wire_begin(w, type, fields + 2);
	wire_put_u64(w, op);
	wire_put_str(w, service);
}

static uint32_t get_u32(struct wire_in *w)
{
	uint64_t v = wire_u64(w);

	if (v > UINT32_MAX)
		w->failed = true;
	return (uint32_t)v;
}

/* Reads the type, operation and service. */
static void read_head(struct wire_in *w, struct syc_bytes msg,
		      enum syc_peer_type type, enum slot_op op, char *service)
{
	if (wire_open(w, msg) != (int)type || wire_u64(w) != op)
		w->failed = true;
	wire_str(w, service, SYC_NAME_MAX);
}

int slot_op(struct syc_bytes msg)
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

static void put_want(struct wire_out *w, const struct slot_want *want)
{
	wire_put_array(w, 5);
	wire_put_str(w, want->caller);
	wire_put_u64(w, want->want);
	wire_put_u64(w, want->cpus);
	wire_put_u64(w, want->memory_mb);
	wire_put_u64(w, want->accelerators);
}

static void get_want(struct wire_in *w, struct buf *wants)
{
	struct slot_want want;

	wire_enter(w, 5);
	wire_str(w, want.caller, sizeof(want.caller));
	want.want = get_u32(w);
	want.cpus = get_u32(w);
	want.memory_mb = get_u32(w);
	want.accelerators = get_u32(w);
	wire_leave(w);
	buf_add(wants, &want, sizeof(want));
}

/* Held grants go as a flat list: id, place of its want, id, ... */
static void put_held(struct wire_out *w, const struct buf *held)
{
	size_t i, n = SLOT_COUNT(held, struct slot_held);

	wire_put_array(w, n * 2);
	for (i = 0; i < n; i++) {
		wire_put_u64(w, SLOT_LIST(held, struct slot_held)[i].id);
		wire_put_u64(w, SLOT_LIST(held, struct slot_held)[i].want);
	}
}

static void get_held(struct wire_in *w, struct buf *held, size_t n_wants)
{
	uint32_t n = wire_enter(w, SLOT_IDS_MAX * 2);
	struct slot_held h;

	for (; n > 1; n -= 2) {
		memset(&h, 0, sizeof(h));
		h.id = wire_u64(w);
		h.want = get_u32(w);
		if (h.want >= n_wants)
			w->failed = true;
		buf_add(held, &h, sizeof(h));
	}
	if (n)
		w->failed = true;
	wire_leave(w);
}

void slot_ask_write(struct wire_out *w, const struct slot_ask *m)
{
	size_t i, n = SLOT_COUNT(&m->wants, struct slot_want);

	begin(w, SYC_PEER_SLOT_REQUEST, 6, SLOT_OP_SLOTS, m->service);
	wire_put_u64(w, m->seq);
	wire_put_u64(w, m->seen);
	wire_put_i64(w, m->time);
	wire_put_u64(w, m->limit_ms);
	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		put_want(w, &SLOT_LIST(&m->wants, struct slot_want)[i]);
	put_held(w, &m->held);
}

bool slot_ask_read(struct syc_bytes msg, struct slot_ask *m)
{
	struct wire_in w;
	uint32_t n;

	memset(m, 0, sizeof(*m));
	read_head(&w, msg, SYC_PEER_SLOT_REQUEST, SLOT_OP_SLOTS, m->service);
	m->seq = wire_u64(&w);
	m->seen = wire_u64(&w);
	m->time = wire_i64(&w);
	m->limit_ms = get_u32(&w);
	n = wire_enter(&w, SLOT_CALLERS_MAX);
	while (n--)
		get_want(&w, &m->wants);
	wire_leave(&w);
	get_held(&w, &m->held, SLOT_COUNT(&m->wants, struct slot_want));
	return wire_close(&w);
}

static void put_fresh(struct wire_out *w, const struct slot_new *s)
{
	wire_put_array(w, 4);
	wire_put_u64(w, s->id);
	wire_put_u64(w, s->width);
	wire_put_str(w, s->target);
	wire_put_str(w, s->caller);
}

static void get_fresh(struct wire_in *w, struct buf *list)
{
	struct slot_new s;

	memset(&s, 0, sizeof(s));
	wire_enter(w, 4);
	s.id = wire_u64(w);
	s.width = get_u32(w);
	wire_str(w, s.target, sizeof(s.target));
	wire_str(w, s.caller, sizeof(s.caller));
	wire_leave(w);
	buf_add(list, &s, sizeof(s));
}

static void put_bound(struct wire_out *w, const struct slot_bound *b)
{
	wire_put_array(w, 2);
	wire_put_str(w, b->caller);
	wire_put_u64(w, b->n);
}

static void get_bound(struct wire_in *w, struct buf *list)
{
	struct slot_bound b;

	wire_enter(w, 2);
	wire_str(w, b.caller, sizeof(b.caller));
	b.n = get_u32(w);
	wire_leave(w);
	buf_add(list, &b, sizeof(b));
}

void slot_grant_write(struct wire_out *w, const struct slot_grant *m)
{
	size_t i, n;

	begin(w, SYC_PEER_SLOT_GRANT, 7, SLOT_OP_SLOTS, m->service);
	wire_put_u64(w, m->number);
	wire_put_u64(w, m->echo_seq);
	wire_put_i64(w, m->echo_time);
	wire_put_u64(w, m->free);
	put_ids(w, &m->dropped);
	n = SLOT_COUNT(&m->bounds, struct slot_bound);
	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		put_bound(w, &SLOT_LIST(&m->bounds, struct slot_bound)[i]);
	n = SLOT_COUNT(&m->fresh, struct slot_new);
	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		put_fresh(w, &SLOT_LIST(&m->fresh, struct slot_new)[i]);
}

bool slot_grant_read(struct syc_bytes msg, struct slot_grant *m)
{
	struct wire_in w;
	uint32_t n;

	memset(m, 0, sizeof(*m));
	read_head(&w, msg, SYC_PEER_SLOT_GRANT, SLOT_OP_SLOTS, m->service);
	m->number = wire_u64(&w);
	m->echo_seq = wire_u64(&w);
	m->echo_time = wire_i64(&w);
	m->free = get_u32(&w);
	get_ids(&w, &m->dropped);
	n = wire_enter(&w, SLOT_CALLERS_MAX);
	while (n--)
		get_bound(&w, &m->bounds);
	wire_leave(&w);
	n = wire_enter(&w, SLOT_IDS_MAX);
	while (n--)
		get_fresh(&w, &m->fresh);
	wire_leave(&w);
	return wire_close(&w);
}

void slot_return_write(struct wire_out *w, const struct slot_return *m)
{
	begin(w, SYC_PEER_SLOT_RETURN, 3, SLOT_OP_SLOTS, m->service);
	wire_put_u64(w, m->seq);
	put_ids(w, &m->ids);
	put_ids(w, &m->bad);
}

bool slot_return_read(struct syc_bytes msg, struct slot_return *m)
{
	struct wire_in w;

	memset(m, 0, sizeof(*m));
	read_head(&w, msg, SYC_PEER_SLOT_RETURN, SLOT_OP_SLOTS, m->service);
	m->seq = wire_u64(&w);
	get_ids(&w, &m->ids);
	get_ids(&w, &m->bad);
	return wire_close(&w);
}

void slot_handover_ask_write(struct wire_out *w,
			     const struct slot_handover_ask *m)
{
	size_t i, n = SLOT_COUNT(&m->targets, struct slot_name);

	begin(w, SYC_PEER_SLOT_REQUEST, 2, SLOT_OP_HANDOVER, m->service);
	wire_put_u64(w, m->nonce);
	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		wire_put_str(w,
			     SLOT_LIST(&m->targets, struct slot_name)[i].name);
}

bool slot_handover_ask_read(struct syc_bytes msg, struct slot_handover_ask *m)
{
	struct slot_name name;
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

static void put_handed(struct wire_out *w, const struct slot_handed *h)
{
	wire_put_array(w, 3);
	wire_put_str(w, h->name);
	wire_put_bool(w, h->sure);
	wire_put_u64(w, h->unsure_ms);
}

static void get_handed(struct wire_in *w, struct buf *list)
{
	struct slot_handed h;

	memset(&h, 0, sizeof(h));
	wire_enter(w, 3);
	wire_str(w, h.name, sizeof(h.name));
	h.sure = wire_bool(w);
	h.unsure_ms = get_u32(w);
	wire_leave(w);
	buf_add(list, &h, sizeof(h));
}

static void put_busy(struct wire_out *w, const struct slot_busy *b)
{
	wire_put_array(w, 5);
	wire_put_u64(w, b->id);
	wire_put_u64(w, b->holder);
	wire_put_u64(w, b->target);
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
	b.target = get_u32(w);
	b.width = get_u32(w);
	b.left_ms = get_u32(w);
	wire_leave(w);
	if (b.target >= n_targets)
		w->failed = true;
	buf_add(list, &b, sizeof(b));
}

void slot_handover_write(struct wire_out *w, const struct slot_handover *m)
{
	size_t i, n = SLOT_COUNT(&m->targets, struct slot_handed);

	begin(w, SYC_PEER_SLOT_GRANT, 3, SLOT_OP_HANDOVER, m->service);
	wire_put_u64(w, m->nonce);
	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		put_handed(w, &SLOT_LIST(&m->targets, struct slot_handed)[i]);
	n = SLOT_COUNT(&m->busy, struct slot_busy);
	wire_put_array(w, n);
	for (i = 0; i < n; i++)
		put_busy(w, &SLOT_LIST(&m->busy, struct slot_busy)[i]);
}

bool slot_handover_read(struct syc_bytes msg, struct slot_handover *m)
{
	struct wire_in w;
	uint32_t n;

	memset(m, 0, sizeof(*m));
	read_head(&w, msg, SYC_PEER_SLOT_GRANT, SLOT_OP_HANDOVER, m->service);
	m->nonce = wire_u64(&w);
	n = wire_enter(&w, SLOT_TARGETS_MAX);
	while (n--)
		get_handed(&w, &m->targets);
	wire_leave(&w);
	n = wire_enter(&w, SLOT_IDS_MAX);
	while (n--)
		get_busy(&w, &m->busy,
			 SLOT_COUNT(&m->targets, struct slot_handed));
	wire_leave(&w);
	return wire_close(&w);
}

void slot_ask_free(struct slot_ask *m)
{
	buf_free(&m->wants);
	buf_free(&m->held);
}

void slot_grant_free(struct slot_grant *m)
{
	buf_free(&m->dropped);
	buf_free(&m->bounds);
	buf_free(&m->fresh);
}

void slot_return_free(struct slot_return *m)
{
	buf_free(&m->ids);
	buf_free(&m->bad);
}

void slot_handover_ask_free(struct slot_handover_ask *m)
{
	buf_free(&m->targets);
}

void slot_handover_free(struct slot_handover *m)
{
	buf_free(&m->targets);
	buf_free(&m->busy);
}
