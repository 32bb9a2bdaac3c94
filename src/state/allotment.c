/*
 * Limits of callers over the whole fleet: slots at once and submissions a
 * second. A limit is divided over the failure domains by the bundle; within
 * a domain one instance, found like the owner of a target, lends parts of it
 * for the time of a lease. What it has lent counts until the borrower has
 * said that it uses less, or until the lease and the longest task have
 * ended, so the parts never add up to more than the limit.
 */
#include <stdio.h>
#include <string.h>

#include "protocol/wire.h"
#include "state/dispatch_state.h"
#include "util/alloc.h"

enum {
	ASK_MS = 1000, /* between asks while the caller is active */
	LACK_MS = 2000, /* for which a borrower that got too little counts */
	ASK_SOON_MS = 50, /* when the part at hand is too small */
	ACTIVE_MS = 10000, /* after the last submission */
	FIRST_RETRY_MS = 50, /* while the first part is on its way */
	BORROWERS_MAX = 64,
	MILLE = 1000 /* a rate's unit is a thousandth of a submission a second */
};

enum op { OP_ASK = 0, OP_GIVE = 1 };

struct message {
	uint64_t op;
	char caller[SYC_NAME_MAX];
	uint64_t seq;
	int64_t time; /* of the borrower */
	uint64_t used[ALLOT_KINDS]; /* has, or is given */
	uint64_t want[ALLOT_KINDS];
};

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

static uint64_t limit_of(const struct syc_dispatch *d, const struct caller *c,
			 int kind)
{
	if (kind == ALLOT_SLOTS)
		return domain_part(d, c->conf.slots);
	return domain_part(d, (uint64_t)c->conf.rate * MILLE);
}

static bool limited(const struct caller *c)
{
	return c->conf.slots || c->conf.rate;
}

static int64_t longest_ms(const struct syc_dispatch *d)
{
	const struct pool *p;
	uint32_t pos = 0;
	uint64_t h;
	int64_t ms = 0;

	while ((p = table_next(&d->pool_table, &pos, &h)))
		if (p->limit_ms > ms)
			ms = p->limit_ms;
	return ms;
}

static struct borrower *borrower_get(struct caller *c, int64_t now,
				     uint64_t peer)
{
	struct borrower *b, *spare = NULL;
	size_t i;

	for (i = 0; i < c->n_borrowers; i++) {
		b = &c->borrowers[i];
		if (b->peer == peer)
			return b;
		if (b->until <= now)
			spare = b;
	}
	if (!spare && c->n_borrowers == BORROWERS_MAX)
		return NULL;
	if (!spare) {
		c->borrowers = xrealloc(c->borrowers,
					(c->n_borrowers + 1) * sizeof(*b));
		spare = &c->borrowers[c->n_borrowers++];
	}
	memset(spare, 0, sizeof(*spare));
	spare->peer = peer;
	return spare;
}

/* What the other borrowers have and lack of one limit. */
struct others {
	uint64_t lent;
	uint64_t n;
	uint64_t without; /* lack some and have none */
	bool unmet;
};

static struct others count_others(const struct caller *c, int64_t now,
				  const struct borrower *to, int kind)
{
	struct others o = {0, 1, 0, false};
	size_t i;

	for (i = 0; i < c->n_borrowers; i++) {
		const struct borrower *b = &c->borrowers[i];
		bool lacks = b->unmet[kind] && now - b->heard < LACK_MS;

		if (b == to || b->until <= now)
			continue;
		o.n++;
		o.lent += b->lent[kind];
		o.unmet = o.unmet || lacks;
		o.without += lacks && !b->lent[kind];
	}
	return o;
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/*
 * The part of one limit that the borrower may have from now on. When there
 * is less than one unit for each, who has some leaves room for who has none.
 */
static uint64_t part(const struct syc_dispatch *d, int64_t now,
		     const struct caller *c, const struct borrower *to,
		     const struct message *m, int kind)
{
	struct others o = count_others(c, now, to, kind);
	uint64_t limit = limit_of(d, c, kind);
	uint64_t give = limit > o.lent ? limit - o.lent : 0;

	if (o.unmet)
		give = min_u64(give, limit / o.n + 1);
	if (m->used[kind])
		give = give > o.without ? give - o.without : 0;
	if (now < c->doubt_until)
		give = min_u64(give, m->used[kind]);
	return min_u64(give, m->want[kind]);
}

static uint64_t max_u64(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static bool lend(struct syc_dispatch *d, int64_t now, struct caller *c,
		 uint64_t peer, const struct message *m, struct message *give)
{
	struct borrower *b = borrower_get(c, now, peer);
	int k;

	if (!b || m->seq <= b->seq)
		return false;
	b->seq = m->seq;
	b->heard = now;
	b->until = now + LEASE_MS + LEASE_SLACK_MS + longest_ms(d) +
		   LIMIT_SLACK_MS;
	*give = *m;
	give->op = OP_GIVE;
	for (k = 0; k < ALLOT_KINDS; k++) {
		give->used[k] = part(d, now, c, b, m, k);
		b->unmet[k] = give->used[k] < m->want[k];
		b->lent[k] = max_u64(m->used[k], give->used[k]);
	}
	return true;
}

static void take_part(struct syc_dispatch *d, int64_t now, struct caller *c,
		      const struct message *m)
{
	struct pool *p;
	struct flow *f;
	uint32_t pos = 0;
	uint64_t h;
	int k;

	if (m->seq != c->allot_seq)
		return;
	for (k = 0; k < ALLOT_KINDS; k++)
		c->allotted[k] = m->used[k];
	c->allot_expiry = m->time + LEASE_MS;
	while ((p = table_next(&d->pool_table, &pos, &h))) {
		f = flow_get(p, c);
		flow_resume(f);
		if (f->ready.pos)
			dispatch_pump(d, now, p);
	}
}

static void write_message(struct wire_out *w, const struct message *m)
{
	int k;

	wire_begin(w, SYC_PEER_ALLOTMENT, 4 + 2 * ALLOT_KINDS);
	wire_put_u64(w, m->op);
	wire_put_str(w, m->caller);
	wire_put_u64(w, m->seq);
	wire_put_i64(w, m->time);
	for (k = 0; k < ALLOT_KINDS; k++) {
		wire_put_u64(w, m->used[k]);
		wire_put_u64(w, m->want[k]);
	}
}

static bool read_message(struct syc_bytes msg, struct message *m)
{
	struct wire_in w;
	int k;

	if (wire_open(&w, msg) != SYC_PEER_ALLOTMENT)
		w.failed = true;
	m->op = wire_u64(&w);
	wire_str(&w, m->caller, sizeof(m->caller));
	m->seq = wire_u64(&w);
	m->time = wire_i64(&w);
	for (k = 0; k < ALLOT_KINDS; k++) {
		m->used[k] = wire_u64(&w);
		m->want[k] = wire_u64(&w);
	}
	return wire_close(&w) && m->op <= OP_GIVE;
}

static void post(struct syc_dispatch *d, uint64_t to, const struct message *m)
{
	struct wire_out w;

	write_message(&w, m);
	dispatch_send(d, to, wire_bytes(&w));
	wire_free(&w);
}

/* Who lends the caller's limits in this domain. */
static uint64_t lender(struct syc_dispatch *d, int64_t now, struct caller *c)
{
	char name[SYC_NAME_MAX + 8];
	uint64_t id;

	snprintf(name, sizeof(name), "caller/%s", c->conf.name);
	id = d->opt.owner(d->opt.ctx, name);
	if (id != c->lender && id == d->opt.self && !d->first_map)
		c->doubt_until = now + MAP_SPREAD_MS + LEASE_MS +
				 LEASE_SLACK_MS + longest_ms(d);
	c->lender = id;
	return id;
}

/* Asks for what the caller has and waits for, and `more` tasks to come. */
static void ask(struct syc_dispatch *d, int64_t now, struct caller *c,
		uint32_t more)
{
	uint64_t to = lender(d, now, c);
	struct message m = {0}, give;
	bool lapsed = now >= c->allot_expiry;

	c->allot_asked = now;
	if (!to)
		return;
	m.op = OP_ASK;
	copy_name(m.caller, sizeof(m.caller), c->conf.name);
	m.seq = ++c->allot_seq;
	m.time = now;
	m.used[ALLOT_SLOTS] = max_u64(lapsed ? 0 : c->allotted[ALLOT_SLOTS],
				      c->running);
	m.used[ALLOT_RATE] = lapsed ? 0 : c->allotted[ALLOT_RATE];
	m.want[ALLOT_SLOTS] = (uint64_t)c->running + c->waiting + more;
	m.want[ALLOT_RATE] = limit_of(d, c, ALLOT_RATE);
	if (to != d->opt.self)
		post(d, to, &m);
	else if (lend(d, now, c, to, &m, &give))
		take_part(d, now, c, &give);
}

bool allotment_take(struct syc_dispatch *d, int64_t now, uint64_t from,
		    struct syc_bytes msg)
{
	struct message m = {0}, give;
	struct caller *c;

	if (!read_message(msg, &m))
		return false;
	c = dispatch_caller(d, m.caller);
	if (!c || !limited(c))
		return true;
	if (m.op == OP_GIVE) {
		if (from == c->lender && m.time <= now)
			take_part(d, now, c, &m);
	} else if (lender(d, now, c) == d->opt.self &&
		   lend(d, now, c, from, &m, &give)) {
		post(d, from, &give);
	}
	return true;
}

/* Tokens, in thousandths, with room for one second's worth. */
static void refill(struct caller *c, int64_t now)
{
	int64_t rate = (int64_t)c->allotted[ALLOT_RATE];
	int64_t most = rate > MILLE ? rate : MILLE;

	if (now < c->allot_expiry)
		c->tokens += (now - c->tokens_at) * rate / MILLE;
	if (c->tokens > most)
		c->tokens = most;
	c->tokens_at = now;
}

static bool take_token(struct syc_dispatch *d, int64_t now, uint64_t tag,
		       struct flow *f)
{
	struct caller *c = f->caller;
	uint32_t wait_ms = FIRST_RETRY_MS;

	refill(c, now);
	if (c->tokens >= MILLE) {
		c->tokens -= MILLE;
		return true;
	}
	if (c->allotted[ALLOT_RATE])
		wait_ms = (uint32_t)((uint64_t)(MILLE - c->tokens) * MILLE /
				     c->allotted[ALLOT_RATE]);
	admission_refuse(d, tag, f, SYC_RATE_LIMIT, wait_ms,
			 "the caller is over its rate");
	return false;
}

bool allotment_admit(struct syc_dispatch *d, int64_t now, uint64_t tag,
		     struct flow *f, uint32_t n_tasks)
{
	struct caller *c = f->caller;

	if (!limited(c))
		return true;
	if (now >= c->allot_expiry ||
	    (c->running + c->waiting + n_tasks > c->allotted[ALLOT_SLOTS] &&
	     now - c->allot_asked >= ASK_SOON_MS))
		ask(d, now, c, n_tasks);
	c->submitted_at = now;
	return !c->conf.rate || take_token(d, now, tag, f);
}

bool allotment_may_start(const struct caller *c, int64_t now)
{
	if (!c->conf.slots)
		return true;
	return now < c->allot_expiry && c->running < c->allotted[ALLOT_SLOTS];
}

static bool wants_more(const struct caller *c)
{
	return c->conf.slots && c->waiting &&
	       c->running >= c->allotted[ALLOT_SLOTS];
}

void allotment_tick(struct syc_dispatch *d, int64_t now)
{
	struct caller *c;
	uint32_t pos = 0;
	uint64_t h;

	while ((c = table_next(&d->caller_table, &pos, &h))) {
		int64_t gap = wants_more(c) ? ASK_SOON_MS : ASK_MS;

		if (!limited(c) || now - c->allot_asked < gap)
			continue;
		if (c->waiting || c->running ||
		    now - c->submitted_at < ACTIVE_MS)
			ask(d, now, c, 0);
	}
}
