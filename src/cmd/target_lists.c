#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/target_lists.h"
#include "protocol/consul.h"
#include "util/alloc.h"
#include "util/log.h"

enum {
	LIST_WAIT_MS = 10000, /* of one blocking query */
	LIST_PAUSE_MS = 500, /* between a change and the next query */
	LIST_PATH_MAX = 160
};

/* Somebody who asked for the list and has no answer yet. */
struct waiter {
	struct waiter *next;
	void (*done)(void *arg, enum syc_platform_status st,
		     const struct syc_target *targets, size_t n);
	void *arg;
};

struct list {
	struct list *next;
	struct target_lists *all;
	char service[SYC_NAME_MAX];
	bool known; /* `targets` is what the platform said last */
	bool fetching;
	bool wanted; /* read since the last answer */
	uint64_t index; /* of the answer; zero: not to be waited on */
	struct syc_target *targets;
	size_t n;
	struct waiter *waiters;
	ev_timer answer; /* answers the waiters from the loop */
	ev_timer query; /* begins the next query */
};

struct target_lists {
	struct target_lists_options opt;
	struct list *lists;
};

static void answer_waiters(struct list *list, enum syc_platform_status st)
{
	struct waiter *w = list->waiters, *next;
	bool ok = st == SYC_PLATFORM_OK;

	list->waiters = NULL;
	for (; w; w = next) {
		next = w->next;
		w->done(w->arg, st, ok ? list->targets : NULL,
			ok ? list->n : 0);
		free(w);
	}
}

static void forget(struct list *list)
{
	free(list->targets);
	list->targets = NULL;
	list->n = 0;
	list->known = false;
	list->index = 0;
}

static enum syc_platform_status keep(struct list *list,
				     const struct http_answer *a)
{
	struct syc_target *targets;
	size_t n, skipped;

	if (a->end != HTTP_ANSWERED)
		return SYC_PLATFORM_UNREACHABLE;
	if (a->status != 200 ||
	    consul_read_health(a->body, &targets, &n, &skipped))
		return SYC_PLATFORM_ERROR;
	if (skipped)
		log_warn("targets_unreadable", LOG_S("service", list->service),
			 LOG_U("count", skipped));
	forget(list);
	list->targets = targets;
	list->n = n;
	list->known = true;
	return SYC_PLATFORM_OK;
}

/* Whether the wait of a blocking query ended without a change. */
static bool unchanged(const struct list *list, const struct http_answer *a,
		      uint64_t index)
{
	return list->known && index && index == list->index &&
	       a->end == HTTP_ANSWERED && a->status == 200;
}

static void start_timer(struct list *list, ev_timer *timer, uint32_t ms)
{
	if (ev_is_active(timer))
		return;
	ev_timer_set(timer, (double)ms / 1000, 0);
	ev_timer_start(list->all->opt.loop, timer);
}

/* Without an index, or nobody reading, the next read begins a query. */
static void go_on(struct list *list)
{
	if (list->index && list->wanted)
		start_timer(list, &list->query, LIST_PAUSE_MS);
	else
		forget(list);
	list->wanted = false;
}

static void fetched(void *arg, const struct http_answer *a)
{
	struct list *list = arg;
	uint64_t index = a->index ? strtoull(a->index, NULL, 10) : 0;
	enum syc_platform_status st = SYC_PLATFORM_OK;

	list->fetching = false;
	if (!unchanged(list, a, index))
		st = keep(list, a);
	if (st != SYC_PLATFORM_OK)
		forget(list);
	else
		list->index = index;
	answer_waiters(list, st);
	go_on(list);
}

static void fetch(struct list *list)
{
	const struct target_lists_options *opt = &list->all->opt;
	char path[LIST_PATH_MAX];
	uint32_t wait_ms = list->index ? LIST_WAIT_MS : 0;
	int n = snprintf(path, sizeof(path), "/v1/health/service/%s",
			 list->service);

	if (wait_ms)
		snprintf(path + n, sizeof(path) - (size_t)n,
			 "?index=%" PRIu64 "&wait=%" PRIu32 "ms", list->index,
			 wait_ms);
	list->fetching = true;
	opt->fetch(opt->ctx, path, wait_ms, fetched, list);
}

static void on_query(struct ev_loop *loop, ev_timer *w, int events)
{
	fetch(w->data);
}

static void on_answer(struct ev_loop *loop, ev_timer *w, int events)
{
	answer_waiters(w->data, SYC_PLATFORM_OK);
}

static struct list *find(struct target_lists *l, const char *service)
{
	struct list *list;

	for (list = l->lists; list; list = list->next)
		if (!strcmp(list->service, service))
			return list;
	list = xcalloc(1, sizeof(*list));
	list->all = l;
	list->next = l->lists;
	l->lists = list;
	copy_name(list->service, sizeof(list->service), service);
	ev_init(&list->answer, on_answer);
	ev_init(&list->query, on_query);
	list->answer.data = list;
	list->query.data = list;
	return list;
}

void target_lists_read(struct target_lists *l, const char *service,
		       void (*done)(void *arg, enum syc_platform_status st,
				    const struct syc_target *targets, size_t n),
		       void *arg)
{
	struct list *list = find(l, service);
	struct waiter *w = xcalloc(1, sizeof(*w));

	w->done = done;
	w->arg = arg;
	w->next = list->waiters;
	list->waiters = w;
	list->wanted = true;
	if (list->known)
		start_timer(list, &list->answer, 0);
	else if (!list->fetching)
		fetch(list);
}

struct target_lists *target_lists_new(const struct target_lists_options *opt)
{
	struct target_lists *l = xcalloc(1, sizeof(*l));

	l->opt = *opt;
	return l;
}

void target_lists_free(struct target_lists *l)
{
	struct list *list, *next;
	struct waiter *w;

	for (list = l->lists; list; list = next) {
		next = list->next;
		ev_timer_stop(l->opt.loop, &list->answer);
		ev_timer_stop(l->opt.loop, &list->query);
		while ((w = list->waiters)) {
			list->waiters = w->next;
			free(w);
		}
		free(list->targets);
		free(list);
	}
	free(l);
}
