#include <stdlib.h>
#include <string.h>

#include "fake_store.h"
#include "util/alloc.h"
#include "util/invariant.h"

enum { LATE_MAX_MS = 1500 };

enum call_kind { CALL_GET, CALL_CAS, CALL_WATCH, CALL_LIST };

struct fake_call {
	enum call_kind kind;
	struct fake_store_client *client;
	char key[96];
	uint64_t index;
	char *value;
	size_t len;
	int64_t due_at; /* ms */
	int64_t timeout_at; /* ms */
	bool is_lost; /* it ends at its time limit */
	bool is_late; /* its reply was delayed */
	int64_t wait_ends_at; /* ms; of a watch */
	bool is_applied;
	enum syc_platform_status status;
	void (*done)(void *arg, const struct syc_platform_value *v);
	void (*listed)(void *arg, enum syc_platform_status st,
		       const struct syc_target *targets, size_t n);
	void *arg;
};

static struct fake_key *find_key(struct fake_store *s, const char *name)
{
	size_t i;

	for (i = 0; i < s->n_keys; i++)
		if (!strcmp(s->keys[i].name, name))
			return &s->keys[i];
	return NULL;
}

static struct fake_key *find_or_add_key(struct fake_store *s, const char *name)
{
	struct fake_key *k = find_key(s, name);

	if (k)
		return k;
	invariant(s->n_keys < FAKE_STORE_KEYS_MAX);
	k = &s->keys[s->n_keys++];
	copy_text(k->name, sizeof(k->name), name);
	return k;
}

static void put_value(struct fake_store *s, struct fake_key *k, const void *p,
		      size_t n)
{
	free(k->old_val);
	k->old_val = k->val;
	k->old_len = k->len;
	k->old_index = k->index;
	k->val = xmemdup(p, n);
	k->len = n;
	k->index = ++s->index;
}

void fake_store_put(struct fake_store *s, const char *key, const char *value)
{
	put_value(s, find_or_add_key(s, key), value, strlen(value));
}

void fake_store_put_set(struct fake_store *s, const char *key,
			const char *value)
{
	fake_store_put(s, key, value);
	find_key(s, key)->is_set = true;
}

void fake_store_restore(struct fake_store *s)
{
	size_t i;

	for (i = 0; i < s->n_keys; i++) {
		struct fake_key *k = &s->keys[i];

		if (!k->old_val)
			continue;
		free(k->val);
		k->val = k->old_val;
		k->len = k->old_len;
		k->old_val = NULL;
		k->index = ++s->index;
	}
}

static bool is_silent(const struct fake_store *s,
		      const struct fake_store_client *client)
{
	return s->silent || client->silent;
}

static struct fake_call *add_call(struct fake_store_client *client,
				  enum call_kind kind, const char *key)
{
	struct fake_store *s = client->store;
	struct fake_call *c = xcalloc(1, sizeof(*c));

	invariant(s->n_calls < FAKE_STORE_CALLS_MAX);
	s->calls[s->n_calls++] = c;
	c->kind = kind;
	c->client = client;
	copy_text(c->key, sizeof(c->key), key);
	c->due_at = s->now + 1 + s->delay_ms +
		    (int64_t)rng_below(&s->rng, (uint64_t)s->delay_ms + 1);
	if (s->timeout_ms)
		c->timeout_at = s->now + s->timeout_ms;
	c->is_lost = is_silent(s, client);
	return c;
}

static void op_get(void *ctx, const char *key,
		   void (*done)(void *, const struct syc_platform_value *),
		   void *arg)
{
	struct fake_call *c = add_call(ctx, CALL_GET, key);
	struct fake_store *s = c->client->store;

	c->done = done;
	c->arg = arg;
	if (s->lose_reads) {
		s->lose_reads--;
		c->is_lost = true;
	}
}

static void op_cas(void *ctx, const char *key, uint64_t index,
		   struct syc_bytes value,
		   void (*done)(void *, const struct syc_platform_value *),
		   void *arg)
{
	struct fake_call *c = add_call(ctx, CALL_CAS, key);

	c->index = index;
	c->value = xmemdup(value.p, value.n);
	c->len = value.n;
	c->done = done;
	c->arg = arg;
}

static void op_watch(void *ctx, const char *key, uint64_t index,
		     uint32_t wait_ms,
		     void (*done)(void *, const struct syc_platform_value *),
		     void *arg)
{
	struct fake_call *c = add_call(ctx, CALL_WATCH, key);

	c->index = index;
	c->wait_ends_at = c->due_at + wait_ms;
	if (c->timeout_at)
		c->timeout_at += wait_ms;
	c->done = done;
	c->arg = arg;
}

static void op_list(void *ctx, const char *service,
		    void (*done)(void *, enum syc_platform_status,
				 const struct syc_target *, size_t),
		    void *arg)
{
	struct fake_call *c = add_call(ctx, CALL_LIST, service);

	c->listed = done;
	c->arg = arg;
}

struct syc_platform_ops fake_store_ops(struct fake_store_client *client)
{
	struct syc_platform_ops ops = {client, op_get, op_cas, op_watch,
				       op_list};

	return ops;
}

/* Writes if the index is current; the reply may still be lost. */
static void compare_and_swap(struct fake_store *s, struct fake_call *c)
{
	struct fake_key *k = find_key(s, c->key);

	s->writes++;
	if ((k ? k->index : 0) != c->index) {
		c->status = SYC_PLATFORM_CONFLICT;
		return;
	}
	put_value(s, find_or_add_key(s, c->key), c->value, c->len);
	c->status = SYC_PLATFORM_OK;
	if (rng_below(&s->rng, 100) < s->lost_reply_percent)
		c->status = SYC_PLATFORM_UNCERTAIN;
}

static void reply_failure(struct fake_call *c, enum syc_platform_status st)
{
	struct syc_platform_value v = {.status = st, .message = "fault"};

	if (c->kind == CALL_LIST)
		c->listed(c->arg, st, NULL, 0);
	else
		c->done(c->arg, &v);
}

void fake_store_end_client(struct fake_store_client *client)
{
	struct fake_store *s = client->store;
	size_t i;

	client->ended = true;
	for (i = 0; i < s->n_calls; i++)
		if (s->calls[i]->client == client)
			reply_failure(s->calls[i], SYC_PLATFORM_UNREACHABLE);
}

static void reply_value(struct fake_store *s, struct fake_call *c)
{
	struct fake_key *k = find_key(s, c->key);
	struct syc_platform_value v = {.message = ""};

	s->reads++;
	if (!k) {
		v.status = SYC_PLATFORM_ABSENT;
	} else if (k->old_val &&
		   rng_below(&s->rng, 100) < s->stale_read_percent) {
		v.index = k->old_index;
		v.value.p = k->old_val;
		v.value.n = k->old_len;
	} else {
		v.index = k->is_set ? ++s->index : k->index;
		v.value.p = k->val;
		v.value.n = k->len;
	}
	c->done(c->arg, &v);
}

static void reply_cas(struct fake_store *s, struct fake_call *c)
{
	struct fake_key *k = find_key(s, c->key);
	struct syc_platform_value v = {.status = c->status, .message = ""};

	v.index = c->status == SYC_PLATFORM_OK ? k->index : 0;
	c->done(c->arg, &v);
}

static bool is_watch_waiting(struct fake_store *s, const struct fake_call *c)
{
	struct fake_key *k = find_key(s, c->key);

	if (s->now >= c->wait_ends_at || s->ends_watches)
		return false;
	if (k && k->is_set)
		return s->deaf || k->index <= c->index;
	return s->deaf || (k ? k->index : 0) == c->index;
}

static bool may_be_applied(const struct fake_call *c)
{
	return c->is_applied || (c->kind == CALL_CAS && c->is_lost);
}

static void reply(struct fake_store *s, struct fake_call *c)
{
	bool unreachable = s->down || c->client->cut || c->is_lost;

	if (c->kind != CALL_LIST && s->busy && !c->is_lost && !c->is_applied)
		reply_failure(c, SYC_PLATFORM_ERROR);
	else if (unreachable)
		reply_failure(c, may_be_applied(c) ? SYC_PLATFORM_UNCERTAIN
						   : SYC_PLATFORM_UNREACHABLE);
	else if (c->kind == CALL_CAS)
		reply_cas(s, c);
	else if (c->kind == CALL_LIST && !strcmp(c->key, "sycamoreshore"))
		c->listed(c->arg, SYC_PLATFORM_OK, s->entries, s->n_entries);
	else if (c->kind == CALL_LIST)
		c->listed(c->arg, SYC_PLATFORM_OK, s->targets, s->n_targets);
	else
		reply_value(s, c);
}

/*
 * Applies a write when it reaches the store, even if its sender has stopped
 * or ended since.
 */
static void apply_due_write(struct fake_store *s, struct fake_call *c)
{
	if (c->kind != CALL_CAS || c->is_applied || c->due_at > s->now)
		return;
	if (s->down || c->client->cut || s->busy || c->is_lost)
		return;
	compare_and_swap(s, c);
	c->is_applied = true;
}

/* Loses or delays the reply that is due. Returns whether it did. */
static bool hold_back(struct fake_store *s, struct fake_call *c)
{
	if (is_silent(s, c->client)) {
		c->is_lost = true;
		return true;
	}
	if (c->is_late || rng_below(&s->rng, 100) >= s->late_reply_percent)
		return false;
	c->is_late = true;
	c->due_at = s->now + (int64_t)rng_below(&s->rng, LATE_MAX_MS);
	return true;
}

static bool is_due(struct fake_store *s, struct fake_call *c)
{
	if (c->client->ended)
		return c->due_at <= s->now;
	if (c->client->paused)
		return false;
	if (c->timeout_at && s->now >= c->timeout_at) {
		c->is_lost = true;
		return true;
	}
	if (c->is_lost || c->due_at > s->now)
		return false;
	if (c->kind == CALL_WATCH && !s->busy && !s->down && !c->client->cut &&
	    is_watch_waiting(s, c))
		return false;
	return !hold_back(s, c);
}

static void complete_call(struct fake_store *s, size_t i)
{
	struct fake_call *c = s->calls[i];

	s->calls[i] = s->calls[--s->n_calls];
	if (!c->client->ended)
		reply(s, c);
	free(c->value);
	free(c);
}

void fake_store_cut_watches(struct fake_store *s)
{
	size_t i;

	for (i = 0; i < s->n_calls; i++)
		if (s->calls[i]->kind == CALL_WATCH && !s->calls[i]->is_lost)
			s->calls[i]->timeout_at = s->now;
}

void fake_store_run(struct fake_store *s, int64_t now)
{
	size_t i;

	s->now = now;
	for (i = 0; i < s->n_calls; i++)
		apply_due_write(s, s->calls[i]);
	i = 0;
	while (i < s->n_calls)
		if (is_due(s, s->calls[i]))
			complete_call(s, i);
		else
			i++;
}

void fake_store_free(struct fake_store *s)
{
	size_t i;

	for (i = 0; i < s->n_calls; i++) {
		free(s->calls[i]->value);
		free(s->calls[i]);
	}
	for (i = 0; i < s->n_keys; i++) {
		free(s->keys[i].val);
		free(s->keys[i].old_val);
	}
	s->n_calls = 0;
	s->n_keys = 0;
}
