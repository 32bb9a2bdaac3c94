/*
 * Targets that change their owner. A new owner uses no slot of a target until
 * it knows which slots are in use, so it sends a request to every instance
 * that it knows. The previous owner, which issues no more grants, lists the
 * slots in use. Any other instance states for how long the grants of an owner
 * that it knew may be in use. Without a reply the new owner derives that time
 * from the owners that it has known itself.
 */
#include "state/dispatch_state.h"
#include "util/alloc.h"

static int64_t uncertain_window_ms(const struct pool *p)
{
	return MAP_SPREAD_MS + LEASE_MS + LEASE_SLACK_MS +
	       p->max_time_limit_ms + TIME_LIMIT_SLACK_MS;
}

/* The time until which slots that earlier owners granted may be in use. */
static int64_t earlier_grants_until(const struct target *t)
{
	int64_t since = t->prev_owner ? t->owner_since : t->owners_known_since;

	return since + uncertain_window_ms(t->pool);
}

static void start_ownership(struct syc_dispatch *d, int64_t now,
			    struct target *t)
{
	int64_t until = earlier_grants_until(t);

	t->uncertain_until = 0;
	if (until <= now)
		return;
	t->uncertain_until = until;
	t->pool->n_uncertain++;
}

void handover_set_owner(struct syc_dispatch *d, int64_t now, struct target *t,
			uint64_t owner)
{
	if (t->owner == owner)
		return;
	if (t->is_owned && t->uncertain_until)
		t->pool->n_uncertain--;
	if (t->owner) {
		t->prev_owner = t->owner;
		d->owners_changed_at = now;
		d->is_first_map = false;
	}
	t->owner = owner;
	t->owner_since = now;
	t->is_owned = owner == d->opt.self;
	if (t->is_owned)
		start_ownership(d, now, t);
}

static void end_uncertain(struct syc_dispatch *d, struct target *t)
{
	t->uncertain_until = 0;
	t->pool->n_uncertain--;
	slots_update_free(d, t);
}

/*
 * Ends the uncertain state of targets whose time has passed and adds the other
 * uncertain targets to `m`.
 */
static void collect_uncertain(struct syc_dispatch *d, int64_t now,
			      struct pool *p, struct slot_handover_request *m)
{
	struct target *t;
	uint32_t pos = 0;
	uint64_t h;

	while ((t = table_next(&p->targets, &pos, &h))) {
		struct slot_target_name name = {0};

		if (!t->is_owned || !t->uncertain_until)
			continue;
		if (now >= t->uncertain_until) {
			end_uncertain(d, t);
			continue;
		}
		if (SLOT_COUNT(&m->targets, struct slot_target_name) ==
		    SLOT_TARGETS_MAX)
			continue;
		copy_text(name.name, sizeof(name.name), t->conf.name);
		buf_add(&m->targets, &name, sizeof(name));
	}
}

static void request_handovers(struct syc_dispatch *d, int64_t now,
			      struct pool *p)
{
	struct slot_handover_request m = {0};
	struct wire_out w;
	struct slot_peer *sp;
	uint32_t pos = 0;
	uint64_t h;

	copy_text(m.service, sizeof(m.service), p->conf.name);
	m.nonce = d->handover_nonce;
	collect_uncertain(d, now, p, &m);
	slot_handover_request_write(&w, &m);
	while (m.targets.len && (sp = table_next(&d->slot_peers, &pos, &h)))
		if (sp->pool == p)
			dispatch_send_message(d, sp->peer, wire_bytes(&w));
	wire_free(&w);
	slot_handover_request_free(&m);
}

void handover_tick(struct syc_dispatch *d, int64_t now)
{
	struct pool *p;
	uint32_t pos = 0;
	uint64_t h;

	if (now - d->handover_requested_at < HANDOVER_RETRY_MS)
		return;
	d->handover_requested_at = now;
	while ((p = table_next(&d->pool_table, &pos, &h)))
		if (p->n_uncertain)
			request_handovers(d, now, p);
}

static uint32_t remaining_ms(int64_t until, int64_t now)
{
	return until > now ? (uint32_t)(until - now) : 0;
}

/* Adds `t` to the reply. Returns whether its busy slots must be listed. */
static bool add_target(struct syc_dispatch *d, int64_t now, uint64_t from,
		       const struct target *t,
		       struct slot_handover_reply *reply)
{
	struct slot_handover_target entry = {0};

	if (t->owner != from)
		return false;
	copy_text(entry.name, sizeof(entry.name), t->conf.name);
	entry.lists_busy = t->prev_owner == d->opt.self;
	entry.uncertain_ms = remaining_ms(
		entry.lists_busy ? t->uncertain_until : earlier_grants_until(t),
		now);
	buf_add(&reply->targets, &entry, sizeof(entry));
	return entry.lists_busy;
}

static void add_busy(struct slot_handover_reply *reply, const struct target *t,
		     uint64_t id, uint64_t holder, uint32_t width,
		     uint32_t left_ms)
{
	struct slot_busy busy = {0};

	busy.id = id;
	busy.holder = holder;
	busy.target_index = t->handover_index;
	busy.width = width;
	busy.left_ms = left_ms;
	buf_add(&reply->busy, &busy, sizeof(busy));
}

/*
 * Adds the sends of this instance that still run on the targets. Each gets an
 * id, which is returned to the new owner at its end.
 */
static void add_own_sends(struct syc_dispatch *d, int64_t now,
			  struct slot_handover_reply *reply)
{
	struct send *s;
	uint32_t pos = 0;
	uint64_t h;

	while ((s = table_next(&d->sends, &pos, &h))) {
		if (s->grant || !s->target->has_handover_index)
			continue;
		if (!s->handover_id)
			s->handover_id = rng_next(&d->rng);
		add_busy(reply, s->target, s->handover_id, d->opt.self,
			 s->width,
			 remaining_ms(s->time_limit_at + TIME_LIMIT_SLACK_MS,
				      now));
	}
}

static void add_issued_grants(struct syc_dispatch *d, int64_t now,
			      struct slot_handover_reply *reply)
{
	size_t i;

	/* Every issued grant has a timer, so the heap lists them all. */
	for (i = 0; i < d->grant_timers.n; i++) {
		const struct issued_grant *g;
		int64_t until;

		g = HEAP_ITEM(d->grant_timers.nodes[i], struct issued_grant,
			      timer);
		if (!g->target->has_handover_index)
			continue;
		until = g->timer.key +
			(g->is_expired
				 ? 0
				 : g->time_limit_ms + TIME_LIMIT_SLACK_MS);
		add_busy(reply, g->target, g->id, g->holder, g->width,
			 remaining_ms(until, now));
	}
}

static void fill_reply(struct syc_dispatch *d, int64_t now, uint64_t from,
		       struct pool *p,
		       const struct slot_handover_request *request,
		       struct slot_handover_reply *reply)
{
	size_t i, n = SLOT_COUNT(&request->targets, struct slot_target_name);
	struct target *t;

	for (i = 0; i < n; i++) {
		t = slots_find_target(p, SLOT_LIST(&request->targets,
						   struct slot_target_name)[i]
						 .name);
		if (!t || !add_target(d, now, from, t, reply))
			continue;
		t->handover_index = (uint32_t)SLOT_COUNT(
					    &reply->targets,
					    struct slot_handover_target) -
				    1;
		t->has_handover_index = true;
	}
	add_own_sends(d, now, reply);
	add_issued_grants(d, now, reply);
	for (i = 0; i < n; i++) {
		t = slots_find_target(p, SLOT_LIST(&request->targets,
						   struct slot_target_name)[i]
						 .name);
		if (t)
			t->has_handover_index = false;
	}
}

bool handover_receive_request(struct syc_dispatch *d, int64_t now,
			      uint64_t from, struct syc_bytes msg)
{
	struct slot_handover_request request;
	struct slot_handover_reply reply = {0};
	struct wire_out w;
	struct pool *p;
	bool ok = slot_handover_request_read(msg, &request);

	p = ok ? dispatch_find_pool(d, request.service) : NULL;
	if (p)
		fill_reply(d, now, from, p, &request, &reply);
	if (reply.targets.len &&
	    SLOT_COUNT(&reply.busy, struct slot_busy) <= SLOT_IDS_MAX) {
		copy_text(reply.service, sizeof(reply.service), p->conf.name);
		reply.nonce = request.nonce;
		slot_handover_reply_write(&w, &reply);
		dispatch_send_message(d, from, wire_bytes(&w));
		wire_free(&w);
	}
	slot_handover_reply_free(&reply);
	slot_handover_request_free(&request);
	return ok;
}

/*
 * Shortens the time for which `t` is uncertain to what `entry` states. The
 * statement of one instance suffices.
 */
static void apply_target(struct syc_dispatch *d, int64_t now, struct target *t,
			 const struct slot_handover_target *entry)
{
	int64_t until = now + entry->uncertain_ms;

	if (!entry->uncertain_ms)
		end_uncertain(d, t);
	else if (until < t->uncertain_until)
		t->uncertain_until = until;
}

/*
 * Counts slots in use on an uncertain target. It runs before apply_target,
 * after which the target may no longer be uncertain.
 */
static void apply_busy(struct syc_dispatch *d, int64_t now, struct pool *p,
		       const struct slot_handover_reply *m,
		       const struct slot_busy *busy)
{
	const struct slot_handover_target *entry;
	struct target *t;

	entry = &SLOT_LIST(&m->targets,
			   struct slot_handover_target)[busy->target_index];
	t = slots_find_target(p, entry->name);
	if (!t || !t->is_owned || !t->uncertain_until || !entry->lists_busy)
		return;
	/*
	 * Without a held grant of that id the slots are free again, or a send
	 * that this instance counts already runs on them.
	 */
	if (busy->holder == d->opt.self && !holder_find_grant(d, p, busy->id))
		return;
	owner_take_over_grant(d, now, t, busy);
}

bool handover_receive_reply(struct syc_dispatch *d, int64_t now, uint64_t from,
			    struct syc_bytes msg)
{
	struct slot_handover_reply m;
	struct pool *p;
	size_t i;
	bool ok = slot_handover_reply_read(msg, &m);

	p = ok ? dispatch_find_pool(d, m.service) : NULL;
	if (p && m.nonce == d->handover_nonce) {
		for (i = 0; i < SLOT_COUNT(&m.busy, struct slot_busy); i++)
			apply_busy(d, now, p, &m,
				   &SLOT_LIST(&m.busy, struct slot_busy)[i]);
		for (i = 0;
		     i < SLOT_COUNT(&m.targets, struct slot_handover_target);
		     i++) {
			const struct slot_handover_target *entry;
			struct target *t;

			entry = &SLOT_LIST(&m.targets,
					   struct slot_handover_target)[i];
			t = slots_find_target(p, entry->name);
			if (t && t->is_owned && t->uncertain_until)
				apply_target(d, now, t, entry);
		}
		schedule_pool(d, now, p);
	}
	slot_handover_reply_free(&m);
	return ok;
}
