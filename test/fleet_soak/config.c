/*
 * Changes the configuration, also several times in quick succession, and checks
 * that each undisturbed instance serves by the newest version in time: only
 * that version has the route that the check's job takes.
 */
#include <stdio.h>
#include <stdlib.h>

#include "soak.h"
#include "util/alloc.h"

enum {
	FIRST_VERSION = 3, /* in the stand-in when it starts */
	APPLY_MS = 2000, /* from its confirmation until it is in force */
	UNDISTURBED_MS = 3000, /* until the check applies after a fault */
	CHANGE_MAX_MS = 4000, /* until the next change, for the checks */
	SERIES_MAX = 4, /* changes in quick succession */
	ANSWER_MS = 2500
};

struct check {
	struct soak_instance *instance;
	long version;
};

static bool is_undisturbed(const struct soak *s, const struct soak_instance *i,
			   int64_t now)
{
	const struct proxy *proxies[] = {&i->callers, &i->store};
	size_t k;

	if (!i->process.pid || i->continue_at || i->process.stop_sent_at ||
	    now - i->process.disturbed_at < UNDISTURBED_MS ||
	    now - s->store_disturbed_at < UNDISTURBED_MS)
		return false;
	for (k = 0; k < 2; k++)
		if (proxies[k]->mode != PROXY_PASS ||
		    now - proxies[k]->disturbed_at_ms < UNDISTURBED_MS)
			return false;
	return true;
}

static void on_answer(void *arg, const struct http_answer *a)
{
	struct check *c = arg;
	struct soak_instance *i = c->instance;

	i->process.soak->n_config_checks++;
	if (a->end == HTTP_ANSWERED && a->status == 404)
		soak_violation(i->process.soak,
			       "%s lacks configuration %ld %d ms after its "
			       "confirmation",
			       i->process.name, c->version, APPLY_MS);
	free(c);
}

static void send_check(struct soak *s, struct soak_instance *i)
{
	static const char body[] =
		"{\"taskSpec\":\"x\",\"bestEffort\":true,\"steps\":[{"
		"\"count\":1,\"cpu\":8000,\"memMb\":64,"
		"\"estimatedMs\":60}]}";
	static const char *const headers[] = {"Content-Type: application/json",
					      "Deadline-Remaining-Ms: 2200",
					      NULL};
	struct check *c = xcalloc(1, sizeof(*c));
	char path[64];
	struct http_call call = {
		.method = "POST",
		.addr = {"127.0.0.1", i->callers.port},
		.path = path,
		.headers = headers,
		.body = {body, sizeof(body) - 1},
		.timeout_ms = ANSWER_MS,
		.body_max = 4096,
	};

	c->instance = i;
	c->version = s->config_version;
	snprintf(path, sizeof(path), "/v%ld/%08llx%08llx", c->version,
		 (unsigned long long)(s->seed & 0xffffffff),
		 (unsigned long long)++s->next_job);
	http_client_send(s->client, &call, on_answer, c);
}

/* Checks each instance once in each version, as soon as it is undisturbed. */
static void check_all(struct soak *s, int64_t now)
{
	struct soak_instance *i;
	int k;

	for (k = 0; k < s->n_instances; k++) {
		i = &s->instances[k];
		if (i->checked_version == s->config_version ||
		    !is_undisturbed(s, i, now))
			continue;
		i->checked_version = s->config_version;
		send_check(s, i);
	}
}

static void change(struct soak *s)
{
	uint64_t n = 1 + rng_below(&s->rng, SERIES_MAX);

	if (!s->config_version)
		s->config_version = FIRST_VERSION;
	while (n--)
		soak_set_knob(s, "config", ++s->config_version);
	s->config_changed_at = proxy_now_ms();
	s->next_change_at = s->config_changed_at + APPLY_MS + ANSWER_MS +
			    (int64_t)rng_below(&s->rng, CHANGE_MAX_MS);
}

/* The store confirms a change only if it answers. */
static bool store_confirms(const struct soak *s)
{
	return !s->store_is_down && !s->store_is_silent;
}

void soak_config_tick(struct soak *s, int64_t now)
{
	if (!store_confirms(s))
		s->store_disturbed_at = now;
	if (s->config_version && now - s->config_changed_at >= APPLY_MS &&
	    now < s->next_change_at - ANSWER_MS)
		check_all(s, now);
	if (now >= s->next_change_at && store_confirms(s))
		change(s);
}
