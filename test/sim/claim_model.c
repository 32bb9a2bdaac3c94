#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "claim_model.h"
#include "util/alloc.h"

enum { INSTANCES = 3, EPOCHS = 4, NOBODY = 3 };

/* Zeroed and packed, so that equal states have equal bytes. */
struct model {
	uint8_t epoch; /* the store's */
	uint8_t birth; /* epoch at which the key's ticket was minted */
	uint8_t primary[EPOCHS + 1], backup[EPOCHS + 1];
	uint8_t lost; /* epoch of the last loss mark */
	uint8_t claim, ack; /* messages sent, a bit for each epoch */
	uint8_t copy_with, copy_without; /* copies with and without the key */
	uint8_t starts;
	struct {
		uint8_t seen; /* epoch */
		uint8_t waiting; /* epoch of the waiting claim */
		uint8_t holds, runner; /* a claim, and whose */
		uint8_t complete;
		uint8_t dead;
	} i[INSTANCES];
};

struct search {
	const struct coord_rules *rules;
	unsigned epochs;
	uint64_t *visited;
	size_t cap, n_visited;
	struct model *stack;
	size_t n, cap_stack;
	bool second_start;
};

static bool visit(struct search *s, const struct model *m);

static void grow(struct search *s)
{
	uint64_t *old = s->visited;
	size_t i, k, n = s->cap;

	s->cap = n ? n * 2 : 1 << 16;
	s->visited = xcalloc(s->cap, sizeof(*s->visited));
	for (i = 0; i < n; i++) {
		if (!old[i])
			continue;
		for (k = old[i] & (s->cap - 1); s->visited[k];)
			k = (k + 1) & (s->cap - 1);
		s->visited[k] = old[i];
	}
	free(old);
}

static bool visit(struct search *s, const struct model *m)
{
	uint64_t h = XXH3_64bits(m, sizeof(*m)) | 1;
	size_t k;

	if (s->n_visited * 2 >= s->cap)
		grow(s);
	for (k = h & (s->cap - 1); s->visited[k]; k = (k + 1) & (s->cap - 1))
		if (s->visited[k] == h)
			return false;
	s->visited[k] = h;
	s->n_visited++;
	return true;
}

static void reach(struct search *s, const struct model *m)
{
	if (m->starts > 1)
		s->second_start = true;
	if (s->second_start || !visit(s, m))
		return;
	if (s->n == s->cap_stack) {
		s->cap_stack = s->cap_stack ? s->cap_stack * 2 : 1024;
		s->stack = xrealloc(s->stack, s->cap_stack * sizeof(*s->stack));
	}
	s->stack[s->n++] = *m;
}

static void begin(struct model *m, int i)
{
	m->i[i].waiting = 0;
	m->i[i].holds = 1;
	m->i[i].runner = (uint8_t)i;
	m->starts++;
}

/* The key arrives at instance `i`. */
static void submit(struct search *s, struct model m, int i)
{
	uint8_t e = m.i[i].seen;

	if (!e || m.epoch < m.birth || m.primary[e] != i || m.i[i].holds ||
	    m.i[i].waiting || (m.lost > m.birth && m.lost <= e))
		return;
	if (m.backup[e] == NOBODY) {
		begin(&m, i);
	} else {
		m.i[i].waiting = e;
		m.claim |= 1 << e;
		if (!s->rules->ack_before_start)
			begin(&m, i);
	}
	reach(s, &m);
}

/* A claim of epoch `e` reaches the backup of `e`. */
static void claim(struct search *s, struct model m, uint8_t e)
{
	uint8_t b = m.backup[e], p = m.primary[e];

	if (!(m.claim >> e & 1) || b == NOBODY || m.i[b].dead ||
	    m.i[b].seen < e ||
	    (m.i[b].seen > e && s->rules->ack_current_entry_only))
		return;
	if (m.i[b].holds && m.i[b].runner != p)
		return;
	if (!m.i[b].waiting) {
		m.i[b].holds = 1;
		m.i[b].runner = p;
	}
	m.ack |= 1 << e;
	reach(s, &m);
}

/* The acknowledgement of epoch `e` reaches the primary of `e`. */
static void ack(struct search *s, struct model m, uint8_t e)
{
	uint8_t p = m.primary[e];

	if (!(m.ack >> e & 1) || m.i[p].dead || !m.i[p].waiting)
		return;
	if (m.i[p].waiting != e && s->rules->deposed_drops_waiting)
		return;
	begin(&m, p);
	reach(s, &m);
}

static void send_copy(struct model *m, int i, uint8_t e)
{
	if (m->primary[e] != i || m->backup[e] == NOBODY)
		return;
	if (m->i[i].holds)
		m->copy_with |= 1 << e;
	else
		m->copy_without |= 1 << e;
}

static bool stayed_primary(const struct model *m, int i, uint8_t from,
			   uint8_t to)
{
	for (; from <= to; from++)
		if (m->primary[from] != i)
			return false;
	return true;
}

/* Instance `i` adopts the map of epoch `e`. */
static void learn(struct search *s, struct model m, int i, uint8_t e)
{
	if (e <= m.i[i].seen || e > m.epoch)
		return;
	m.i[i].seen = e;
	m.i[i].complete = 0;
	if (m.i[i].waiting && m.primary[e] == i &&
	    (!s->rules->resend_if_still_primary ||
	     stayed_primary(&m, i, m.i[i].waiting, e))) {
		if (m.backup[e] == NOBODY) {
			begin(&m, i);
		} else {
			m.i[i].waiting = e;
			m.claim |= 1 << e;
		}
	} else if (s->rules->deposed_drops_waiting) {
		m.i[i].waiting = 0;
	}
	send_copy(&m, i, e);
	reach(s, &m);
}

/* A copy of epoch `e` reaches the backup of `e`. */
static void copy(struct search *s, struct model m, uint8_t e, bool with)
{
	uint8_t b = m.backup[e];

	if (!((with ? m.copy_with : m.copy_without) >> e & 1) || m.i[b].dead ||
	    m.i[b].seen != e)
		return;
	m.i[b].complete = 1;
	if (with && !m.i[b].holds) {
		m.i[b].holds = 1;
		m.i[b].runner = m.primary[e];
	}
	reach(s, &m);
}

/* The store takes a change to primary `p` and backup `b`. */
static void change(struct search *s, struct model m, uint8_t p, uint8_t b)
{
	uint8_t e = m.epoch, was_p = m.primary[e], was_b = m.backup[e];
	bool safe = p == was_p, gone;

	if (p == b || e == s->epochs || m.i[p].dead)
		return;
	if (p == was_b)
		safe = !s->rules->complete_before_primary ||
		       (m.i[p].complete && m.i[p].seen == e);
	gone = m.i[was_p].dead &&
	       (was_b == NOBODY || m.i[was_b].dead || p == was_b);
	if (!safe && !gone && s->rules->ended_before_replacement)
		return;
	m.epoch = ++e;
	m.primary[e] = p;
	m.backup[e] = b;
	if (!safe)
		m.lost = e;
	reach(s, &m);
}

/* A backup that reaches neither primary nor store serves alone. */
static void serve_without_store(struct search *s, struct model m, int i)
{
	if (s->rules->takeover_through_store || !m.i[i].seen ||
	    m.epoch < m.birth || m.backup[m.i[i].seen] != i ||
	    !m.i[i].complete || m.i[i].holds)
		return;
	begin(&m, i);
	reach(s, &m);
}

static void expand(struct search *s, const struct model *m)
{
	struct model crashed;
	uint8_t e, p, b;
	int i;

	for (i = 0; i < INSTANCES; i++) {
		if (m->i[i].dead)
			continue;
		crashed = *m;
		memset(&crashed.i[i], 0, sizeof(crashed.i[i]));
		crashed.i[i].dead = 1;
		reach(s, &crashed);
		submit(s, *m, i);
		serve_without_store(s, *m, i);
		for (e = 1; e <= m->epoch; e++)
			learn(s, *m, i, e);
	}
	for (e = 1; e <= m->epoch; e++) {
		claim(s, *m, e);
		ack(s, *m, e);
		copy(s, *m, e, true);
		copy(s, *m, e, false);
	}
	for (p = 0; p < INSTANCES; p++)
		for (b = 0; b <= NOBODY; b++)
			change(s, *m, p, b);
}

struct model_result claim_model(const struct coord_rules *rules,
				unsigned epochs)
{
	struct search s = {.rules = rules, .epochs = epochs};
	struct model_result res;
	struct model m;
	uint8_t birth;

	for (birth = 0; birth <= epochs; birth++) {
		memset(&m, 0, sizeof(m));
		m.birth = birth;
		m.epoch = 1;
		m.primary[1] = 0;
		m.backup[1] = 1;
		reach(&s, &m);
	}
	while (s.n && !s.second_start) {
		m = s.stack[--s.n];
		expand(&s, &m);
	}
	res.states = s.n_visited;
	res.second_start = s.second_start;
	free(s.visited);
	free(s.stack);
	return res;
}
