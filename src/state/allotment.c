/*
 * Limits of callers over the whole fleet: slots in use at once and
 * submissions per second. Each limit is divided evenly over the failure
 * domains of the bundle. Within a domain one instance, the limit owner, which
 * is found like the owner of a target, leases parts of it (allotments) to the
 * instances. An allotment counts until its holder states that it uses less,
 * or until the lease and then the longest time limit of a task have passed, so
 * the allotments never add up to more than the limit.
 */
#include <stdio.h>
#include <string.h>

#include "protocol/wire.h"
#include "state/dispatch_state.h"
#include "util/alloc.h"

enum {
	REQUEST_ACTIVE_MS = 1000, /* between requests for an active caller */
	/* A holder that got too little counts as short for this time. */
	SHORTAGE_TTL_MS = 2000,
	/* Between requests while the allotment is too small. */
	REQUEST_SHORTAGE_MS = 50,
	CALLER_ACTIVE_MS = 10000, /* from its last submission */
	NO_RATE_RETRY_MS = 50, /* retry-after while no rate is allotted */
	ALLOTMENTS_MAX = 64, /* of one caller */
	/* Rates are in 1/1000 submission per second. */
	RATE_SCALE = 1000
};

enum allotment_op { OP_REQUEST = 0, OP_ALLOT = 1 };

/* A request of a holder, or the limit owner's reply. */
struct allotment_message {
	uint64_t op;
	char caller[SYC_NAME_MAX];
	uint64_t seq; /* of the request */
	int64_t sent_at; /* the request, by the holder's clock */
	/* What the holder has or, in the reply, may have from now on. */
	uint64_t amounts[LIMIT_TYPES];
	uint64_t wanted[LIMIT_TYPES];
};

/* This domain's part of a limit; the parts add up to the limit. */
static uint64_t domain_part(const struct syc_dispatch *d, uint64_t limit)
{
	const struct syc_bundle *b = d->bundle;
	size_t i;

	if (!b->n_domains)
		return limit;
	for (i = 0; i < b->n_domains; i++)
		if (!strncmp(b->domains[i], d->opt.domain, SYC_NAME_MAX))
			return limit * (i + 1) / b->n_domains -
			       limit * i / b->n_domains;
	return 0;
}

static uint64_t domain_limit(const struct syc_dispatch *d,
			     const struct caller *c, int limit_type)
{
	if (limit_type == LIMIT_SLOTS)
		return domain_part(d, c->conf.slots);
	return domain_part(d, (uint64_t)c->conf.rate * RATE_SCALE);
}

static bool has_limits(const struct caller *c)
{
	return c->conf.slots || c->conf.rate;
}

static int64_t longest_time_limit_ms(const struct syc_dispatch *d)
{
	const struct pool *p;
	uint32_t pos = 0;
	uint64_t h;
	int64_t ms = 0;

	while ((p = table_next(&d->pool_table, &pos, &h)))
		if (p->max_time_limit_ms > ms)
			ms = p->max_time_limit_ms;
	return ms;
}

static struct allotment *get_allotment(struct caller *c, int64_t now,
				       uint64_t peer)
{
	struct allotment *a, *unused = NULL;
	size_t i;

	for (i = 0; i < c->n_allotments; i++) {
		a = &c->allotments[i];
		if (a->holder == peer)
			return a;
		if (a->expires_at <= now)
			unused = a;
	}
	if (!unused && c->n_allotments == ALLOTMENTS_MAX)
		return NULL;
	if (!unused) {
		c->allotments = xrealloc(c->allotments,
					 (c->n_allotments + 1) * sizeof(*a));
		unused = &c->allotments[c->n_allotments++];
	}
	memset(unused, 0, sizeof(*unused));
	unused->holder = peer;
	return unused;
}

/* What the other holders have of one limit and whether they want more. */
struct other_allotments {
	uint64_t amount; /* that they have */
	uint64_t n_holders; /* including the requester */
	uint64_t n_without_any; /* holders that want some and have none */
	bool any_short;
};

static struct other_allotments count_other_allotments(
	const struct caller *c, int64_t now, const struct allotment *requester,
	int limit_type)
{
	struct other_allotments others = {0, 1, 0, false};
	size_t i;

	for (i = 0; i < c->n_allotments; i++) {
		const struct allotment *a = &c->allotments[i];
		bool is_short = a->is_short[limit_type] &&
				now - a->requested_at < SHORTAGE_TTL_MS;

		if (a == requester || a->expires_at <= now)
			continue;
		others.n_holders++;
		others.amount += a->amounts[limit_type];
		others.any_short = others.any_short || is_short;
		others.n_without_any += is_short && !a->amounts[limit_type];
	}
	return others;
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/*
 * The part of one limit that the requester may have from now on. When there
 * is less than one unit for each holder, a holder that has some leaves units
 * to those that want some and have none.
 */
static uint64_t compute_amount(const struct syc_dispatch *d, int64_t now,
			       const struct caller *c,
			       const struct allotment *requester,
			       const struct allotment_message *m,
			       int limit_type)
{
	struct other_allotments others = count_other_allotments(
		c, now, requester, limit_type);
	uint64_t limit = domain_limit(d, c, limit_type);
	uint64_t amount = limit > others.amount ? limit - others.amount : 0;

	if (others.any_short)
		amount = min_u64(amount, limit / others.n_holders + 1);
	if (m->amounts[limit_type])
		amount = amount > others.n_without_any
				 ? amount - others.n_without_any
				 : 0;
	if (now < c->uncertain_until)
		amount = min_u64(amount, m->amounts[limit_type]);
	return min_u64(amount, m->wanted[limit_type]);
}

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

/* Fills in the reply; false for an old request or with too many holders. */
static bool allot(struct syc_dispatch *d, int64_t now, struct caller *c,
		  uint64_t peer, const struct allotment_message *m,
		  struct allotment_message *reply)
{
	struct allotment *a = get_allotment(c, now, peer);
	int i;

	if (!a || m->seq <= a->request_seq)
		return false;
	a->request_seq = m->seq;
	a->requested_at = now;
	a->expires_at = now + LEASE_MS + LEASE_SLACK_MS +
			longest_time_limit_ms(d) + TIME_LIMIT_SLACK_MS;
	*reply = *m;
	reply->op = OP_ALLOT;
	for (i = 0; i < LIMIT_TYPES; i++) {
		reply->amounts[i] = compute_amount(d, now, c, a, m, i);
		a->is_short[i] = reply->amounts[i] < m->wanted[i];
		a->amounts[i] = max_u64(m->amounts[i], reply->amounts[i]);
	}
	return true;
}

/* Applies the reply to the last request and starts tasks that it allows. */
static void apply_allotment(struct syc_dispatch *d, int64_t now,
			    struct caller *c, const struct allotment_message *m)
{
	struct pool *p;
	struct flow *f;
	uint32_t pos = 0;
	uint64_t h;
	int i;

	if (m->seq != c->allotment_request_seq)
		return;
	for (i = 0; i < LIMIT_TYPES; i++)
		c->allotted[i] = m->amounts[i];
	c->allotment_expires_at = m->sent_at + LEASE_MS;
	while ((p = table_next(&d->pool_table, &pos, &h))) {
		f = flow_get(p, c);
		flow_resume(f);
		if (f->ready_node.pos)
			schedule_pool(d, now, p);
	}
}

static void write_message(struct wire_out *w, const struct allotment_message *m)
{
	int i;

	wire_begin(w, SYC_PEER_ALLOTMENT, 4 + 2 * LIMIT_TYPES);
	wire_put_u64(w, m->op);
	wire_put_str(w, m->caller);
	wire_put_u64(w, m->seq);
	wire_put_i64(w, m->sent_at);
	for (i = 0; i < LIMIT_TYPES; i++) {
		wire_put_u64(w, m->amounts[i]);
		wire_put_u64(w, m->wanted[i]);
	}
}

static bool read_message(struct syc_bytes msg, struct allotment_message *m)
{
	struct wire_in w;
	int i;

	if (wire_open(&w, msg) != SYC_PEER_ALLOTMENT)
		w.failed = true;
	m->op = wire_u64(&w);
	wire_str(&w, m->caller, sizeof(m->caller));
	m->seq = wire_u64(&w);
	m->sent_at = wire_i64(&w);
	for (i = 0; i < LIMIT_TYPES; i++) {
		m->amounts[i] = wire_u64(&w);
		m->wanted[i] = wire_u64(&w);
	}
	return wire_close(&w) && m->op <= OP_ALLOT;
}

static void send_allotment_message(struct syc_dispatch *d, uint64_t to,
				   const struct allotment_message *m)
{
	struct wire_out w;

	write_message(&w, m);
	dispatch_send_message(d, to, wire_bytes(&w));
	wire_free(&w);
}

/* The limit owner of the caller in this domain; zero: not known. */
static uint64_t find_limit_owner(struct syc_dispatch *d, int64_t now,
				 struct caller *c)
{
	char name[SYC_NAME_MAX + 8];
	uint64_t id;

	snprintf(name, sizeof(name), "caller/%s", c->conf.name);
	id = d->opt.find_owner(d->opt.ctx, name);
	if (id != c->limit_owner && id == d->opt.self && !d->is_first_map)
		c->uncertain_until = now + MAP_SPREAD_MS + LEASE_MS +
				     LEASE_SLACK_MS + longest_time_limit_ms(d);
	c->limit_owner = id;
	return id;
}

/*
 * Requests the caller's rate, and slots for its running and waiting tasks and
 * for `n_more` further ones. A limit owner answers its own request directly.
 */
static void request_allotment(struct syc_dispatch *d, int64_t now,
			      struct caller *c, uint32_t n_more)
{
	uint64_t owner = find_limit_owner(d, now, c);
	struct allotment_message m = {0}, reply;
	bool is_expired = now >= c->allotment_expires_at;

	c->allotment_requested_at = now;
	if (!owner)
		return;
	m.op = OP_REQUEST;
	copy_text(m.caller, sizeof(m.caller), c->conf.name);
	m.seq = ++c->allotment_request_seq;
	m.sent_at = now;
	m.amounts[LIMIT_SLOTS] = max_u64(
		is_expired ? 0 : c->allotted[LIMIT_SLOTS], c->running_slots);
	m.amounts[LIMIT_RATE] = is_expired ? 0 : c->allotted[LIMIT_RATE];
	m.wanted[LIMIT_SLOTS] = (uint64_t)c->running_slots + c->waiting_tasks +
				n_more;
	m.wanted[LIMIT_RATE] = domain_limit(d, c, LIMIT_RATE);
	if (owner != d->opt.self)
		send_allotment_message(d, owner, &m);
	else if (allot(d, now, c, owner, &m, &reply))
		apply_allotment(d, now, c, &reply);
}

bool allotment_receive(struct syc_dispatch *d, int64_t now, uint64_t from,
		       struct syc_bytes msg)
{
	struct allotment_message m = {0}, reply;
	struct caller *c;

	if (!read_message(msg, &m))
		return false;
	c = dispatch_find_caller(d, m.caller);
	if (!c || !has_limits(c))
		return true;
	if (m.op == OP_ALLOT) {
		if (from == c->limit_owner && m.sent_at <= now)
			apply_allotment(d, now, c, &m);
	} else if (find_limit_owner(d, now, c) == d->opt.self &&
		   allot(d, now, c, from, &m, &reply)) {
		send_allotment_message(d, from, &reply);
	}
	return true;
}

/*
 * Adds the tokens earned since the last call. The tokens are limited to those
 * of one second, or to one submission if that is more.
 */
static void refill_tokens(struct caller *c, int64_t now)
{
	int64_t rate = (int64_t)c->allotted[LIMIT_RATE];
	int64_t tokens_max = rate > RATE_SCALE ? rate : RATE_SCALE;

	if (now < c->allotment_expires_at)
		c->tokens += (now - c->tokens_refilled_at) * rate / RATE_SCALE;
	if (c->tokens > tokens_max)
		c->tokens = tokens_max;
	c->tokens_refilled_at = now;
}

static bool take_token(struct syc_dispatch *d, int64_t now, uint64_t tag,
		       struct flow *f)
{
	struct caller *c = f->caller;
	uint32_t wait_ms = NO_RATE_RETRY_MS;

	refill_tokens(c, now);
	if (c->tokens >= RATE_SCALE) {
		c->tokens -= RATE_SCALE;
		return true;
	}
	if (c->allotted[LIMIT_RATE])
		wait_ms = (uint32_t)((uint64_t)(RATE_SCALE - c->tokens) *
				     RATE_SCALE / c->allotted[LIMIT_RATE]);
	admission_refuse(d, tag, f, SYC_RATE_LIMIT, wait_ms,
			 "the caller is over its rate");
	return false;
}

bool allotment_admit(struct syc_dispatch *d, int64_t now, uint64_t tag,
		     struct flow *f, uint32_t n_tasks)
{
	struct caller *c = f->caller;

	if (!has_limits(c))
		return true;
	if (now >= c->allotment_expires_at ||
	    (c->running_slots + c->waiting_tasks + n_tasks >
		     c->allotted[LIMIT_SLOTS] &&
	     now - c->allotment_requested_at >= REQUEST_SHORTAGE_MS))
		request_allotment(d, now, c, n_tasks);
	c->last_submitted_at = now;
	return !c->conf.rate || take_token(d, now, tag, f);
}

bool allotment_may_start(const struct caller *c, int64_t now)
{
	if (!c->conf.slots)
		return true;
	return now < c->allotment_expires_at &&
	       c->running_slots < c->allotted[LIMIT_SLOTS];
}

static bool wants_more_slots(const struct caller *c)
{
	return c->conf.slots && c->waiting_tasks &&
	       c->running_slots >= c->allotted[LIMIT_SLOTS];
}

void allotment_tick(struct syc_dispatch *d, int64_t now)
{
	struct caller *c;
	uint32_t pos = 0;
	uint64_t h;

	while ((c = table_next(&d->caller_table, &pos, &h))) {
		int64_t interval_ms = wants_more_slots(c) ? REQUEST_SHORTAGE_MS
							  : REQUEST_ACTIVE_MS;

		if (!has_limits(c) ||
		    now - c->allotment_requested_at < interval_ms)
			continue;
		if (c->waiting_tasks || c->running_slots ||
		    now - c->last_submitted_at < CALLER_ACTIVE_MS)
			request_allotment(d, now, c, 0);
	}
}
