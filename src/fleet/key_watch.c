#include "fleet/key_watch.h"
#include "util/log.h"

enum {
	WATCH_WAIT_MS = 10000,
	PARTS = 8, /* of the bound; a read is sent and repeated in parts of it */
	/* While a key is absent, it is about to be created. */
	ABSENT_RETRY_MS = 100
};

static int64_t get_now(const struct key_watch *w)
{
	return syc_now(&w->opt.clock);
}

/*
 * The time after which an unanswered read is followed by another one. While the
 * store is unreachable, the others leave most of the reads to the leader.
 */
static int64_t retry_ms(const struct key_watch *w, bool leads)
{
	int64_t part = w->opt.bound_ms / PARTS;

	return w->is_unreachable && !leads ? 2 * part : part;
}

/*
 * The age at which a read is sent. The leading instance reads first. An
 * instance that the leader's reads do not reach in time reads by itself, at a
 * time of its own, so that the others learn from it.
 */
static int64_t refresh_ms(const struct key_watch *w, bool leads)
{
	int64_t part = w->opt.bound_ms / PARTS;

	if (leads)
		return 2 * part;
	return 4 * part + (part ? (int64_t)(w->opt.id % (uint64_t)part) : 0);
}

static bool is_answer(const struct syc_platform_value *v)
{
	return v->status == SYC_PLATFORM_OK ||
	       v->status == SYC_PLATFORM_ABSENT ||
	       v->status == SYC_PLATFORM_CONFLICT;
}

int64_t key_watch_age_ms(const struct key_watch *w, int64_t now)
{
	return w->confirmed_at ? now - w->confirmed_at : -1;
}

static struct key_call *find_free(struct key_call *calls, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!calls[i].in_flight)
			return &calls[i];
	return NULL;
}

/* Watches that were sent by now may have been lost; others replace them. */
static void replace_watches(struct key_watch *w)
{
	size_t i;

	for (i = 0; i < KEY_WATCHES_MAX; i++)
		w->watches[i].is_lost = true;
}

static bool has_watch(const struct key_watch *w)
{
	size_t i;

	for (i = 0; i < KEY_WATCHES_MAX; i++)
		if (w->watches[i].in_flight && !w->watches[i].is_lost)
			return true;
	return false;
}

static void set_index(struct key_watch *w, int64_t now, uint64_t index)
{
	w->is_known = true;
	w->index = index;
	w->learned_at = now;
	w->wants_read = false;
	/* A watch that waits for an older index reports nothing new. */
	if (!w->opt.index_rises)
		replace_watches(w);
}

void key_watch_call_ended(struct key_watch *w, int64_t sent_at,
			  const struct syc_platform_value *v)
{
	bool answered = is_answer(v);

	/* Calls that were sent before the last answered one tell nothing. */
	if (!answered && sent_at < w->answered_at)
		return;
	if (answered && sent_at > w->answered_at)
		w->answered_at = sent_at;
	w->lost_calls |= !answered && v->status != SYC_PLATFORM_ERROR;
	if (w->is_unreachable == !answered)
		return;
	w->is_unreachable = !answered;
	if (answered && w->lost_calls)
		replace_watches(w);
	w->lost_calls &= !answered;
	w->opt.reachable(w->opt.ctx, answered, v->message);
}

static void log_unanswered(const struct key_watch *w, const char *call,
			   const struct key_call *c,
			   const struct syc_platform_value *v)
{
	int64_t now = get_now(w);

	log_warn("key_unanswered", LOG_S("key", w->opt.key),
		 LOG_S("call", call), LOG_I("sent_ms_ago", now - c->sent_at),
		 LOG_I("age_ms", key_watch_age_ms(w, now)),
		 LOG_U("index", w->index), LOG_S("why", v->message));
}

/* Whether the answer is older than what is known, as calls overtake others. */
static bool is_overtaken(const struct key_watch *w, const struct key_call *c,
			 const struct syc_platform_value *v)
{
	return w->is_known && v->index < w->index &&
	       c->sent_at <= w->learned_at;
}

/* Whether the store answers with an older value than it did before. */
static bool is_stale(const struct key_watch *w,
		     const struct syc_platform_value *v)
{
	return v->status == SYC_PLATFORM_OK && w->is_known &&
	       v->index < w->index;
}

static void take_value(struct key_watch *w, const struct syc_platform_value *v)
{
	if (w->is_known && v->index == w->index)
		return;
	set_index(w, get_now(w), v->index);
	w->opt.changed(w->opt.ctx, v);
}

static void on_read(void *arg, const struct syc_platform_value *v)
{
	struct key_call *c = arg;
	struct key_watch *w = c->watch;

	c->in_flight = false;
	if (!is_answer(v) && !w->is_unreachable && c->sent_at >= w->answered_at)
		log_unanswered(w, "read", c, v);
	key_watch_call_ended(w, c->sent_at, v);
	if (!is_answer(v) || is_overtaken(w, c, v))
		return;
	if (is_stale(w, v)) {
		log_warn("key_stale", LOG_S("key", w->opt.key),
			 LOG_U("index", v->index), LOG_U("known", w->index));
		return;
	}
	key_watch_confirm(w, c->sent_at);
	take_value(w, v);
}

/*
 * An answer without a change proves nothing, as the store may have missed one
 * that it did not report.
 */
static void on_watch(void *arg, const struct syc_platform_value *v)
{
	struct key_call *c = arg;
	struct key_watch *w = c->watch;
	int64_t now = get_now(w);

	c->in_flight = false;
	if (!is_answer(v))
		log_unanswered(w, "watch", c, v);
	/* The store refuses watches, or cuts them: it gets them one by one. */
	if (!c->is_lost && v->index <= w->index &&
	    now - c->sent_at < WATCH_WAIT_MS)
		w->next_watch_at = now + retry_ms(w, false);
	key_watch_call_ended(w, c->sent_at, v);
	if (v->status == SYC_PLATFORM_ABSENT)
		w->wants_read = true;
	if (v->status == SYC_PLATFORM_OK && v->index > w->index)
		take_value(w, v);
}

void key_watch_read(struct key_watch *w, int64_t now)
{
	const struct syc_platform_ops *store = &w->opt.store;
	struct key_call *c = find_free(w->reads, KEY_READS_MAX);

	if (!c)
		return;
	*c = (struct key_call){.watch = w, .sent_at = now, .in_flight = true};
	w->read_at = now;
	w->wants_read = false;
	store->get(store->ctx, w->opt.key, on_read, c);
}

static void send_watch(struct key_watch *w, int64_t now)
{
	const struct syc_platform_ops *store = &w->opt.store;
	struct key_call *c = find_free(w->watches, KEY_WATCHES_MAX);

	if (!c)
		return;
	*c = (struct key_call){.watch = w,
			       .index = w->index,
			       .sent_at = now,
			       .in_flight = true};
	store->watch(store->ctx, w->opt.key, w->index, WATCH_WAIT_MS, on_watch,
		     c);
}

static bool is_read_due(const struct key_watch *w, int64_t now, bool leads)
{
	int64_t since_read_ms = now - w->read_at;

	if (!w->read_at)
		return true;
	if (w->is_known && !w->index)
		return since_read_ms >= ABSENT_RETRY_MS;
	if (since_read_ms < retry_ms(w, leads))
		return false;
	/* An unreachable store is tried even if peers reach it. */
	return !w->is_known || w->wants_read || w->is_unreachable ||
	       !w->confirmed_at ||
	       now - w->confirmed_at >= refresh_ms(w, leads);
}

static void check_age(struct key_watch *w, int64_t now)
{
	int64_t age_ms = now -
			 (w->confirmed_at ? w->confirmed_at : w->started_at);
	bool is_overdue = age_ms > (int64_t)w->opt.bound_ms;

	if (is_overdue == w->is_overdue)
		return;
	w->is_overdue = is_overdue;
	if (is_overdue)
		log_warn("key_unconfirmed", LOG_S("key", w->opt.key),
			 LOG_U("index", w->index), LOG_I("age_ms", age_ms),
			 LOG_U("store_lost", w->is_unreachable));
	else
		log_info("key_confirmed", LOG_S("key", w->opt.key),
			 LOG_U("index", w->index), LOG_I("age_ms", age_ms));
}

void key_watch_tick(struct key_watch *w, int64_t now, enum key_watch_role role)
{
	bool leads = role == KEY_WATCH_LEADS;

	check_age(w, now);
	if (is_read_due(w, now, leads))
		key_watch_read(w, now);
	if (role != KEY_WATCH_FOLLOWS && w->index && !w->is_unreachable &&
	    now >= w->next_watch_at && !has_watch(w))
		send_watch(w, now);
}

void key_watch_confirm(struct key_watch *w, int64_t at)
{
	if (at > w->confirmed_at)
		w->confirmed_at = at;
}

void key_watch_note_newer(struct key_watch *w)
{
	w->wants_read = true;
}

void key_watch_learned(struct key_watch *w, int64_t now, uint64_t index)
{
	set_index(w, now, index);
}

void key_watch_init(struct key_watch *w, const struct key_watch_options *opt,
		    int64_t now)
{
	*w = (struct key_watch){.opt = *opt, .started_at = now};
}
