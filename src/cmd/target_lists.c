#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/target_lists.h"
#include "protocol/consul.h"
#include "util/alloc.h"
#include "util/log.h"

enum {
	QUERY_WAIT_MS = 10000, /* longest wait of a blocking query */
	QUERY_DELAY_MS = 500, /* between an answer and the next query */
	PATH_BYTES_MAX = 160
};

/* A read of a list that is not answered yet. */
struct waiter {
	struct waiter *next;
	void (*done)(void *arg, enum syc_platform_status st,
		     const struct syc_target *targets, size_t n);
	void *arg;
};

struct service_list {
	struct service_list *next;
	struct target_lists *parent;
	char service[SYC_NAME_MAX];
	bool is_known; /* `targets` is the platform's last answer */
	bool is_querying;
	bool was_read; /* since the last answer */
	uint64_t index; /* index of the last answer; zero: it had none */
	struct syc_target *targets;
	size_t n;
	struct waiter *waiters;
	ev_timer answer_timer; /* answers the waiters from the loop */
	ev_timer query_timer; /* begins the next query */
};

struct target_lists {
	struct target_lists_options opt;
	struct service_list *lists;
};

static void answer_waiters(struct service_list *list,
			   enum syc_platform_status st)
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

static void clear_list(struct service_list *list)
{
	free(list->targets);
	list->targets = NULL;
	list->n = 0;
	list->is_known = false;
	list->index = 0;
}

static enum syc_platform_status update_list(struct service_list *list,
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
	clear_list(list);
	list->targets = targets;
	list->n = n;
	list->is_known = true;
	return SYC_PLATFORM_OK;
}

/* Returns whether the wait of a blocking query ended without a change. */
static bool is_unchanged(const struct service_list *list,
			 const struct http_answer *a, uint64_t index)
{
	return list->is_known && index && index == list->index &&
	       a->end == HTTP_ANSWERED && a->status == 200;
}

static void start_timer(struct service_list *list, ev_timer *timer, uint32_t ms)
{
	if (ev_is_active(timer))
		return;
	ev_timer_set(timer, (double)ms / 1000, 0);
	ev_timer_start(list->parent->opt.loop, timer);
}

/*
 * Begins the next query after a delay if the list was read since the previous
 * answer. Otherwise, or if this answer had no index, clears the list, so that
 * the next read begins a query.
 */
static void query_again_or_clear(struct service_list *list)
{
	if (list->index && list->was_read)
		start_timer(list, &list->query_timer, QUERY_DELAY_MS);
	else
		clear_list(list);
	list->was_read = false;
}

static void on_query_answer(void *arg, const struct http_answer *a)
{
	struct service_list *list = arg;
	uint64_t index = a->index ? strtoull(a->index, NULL, 10) : 0;
	enum syc_platform_status st = SYC_PLATFORM_OK;

	list->is_querying = false;
	if (!is_unchanged(list, a, index))
		st = update_list(list, a);
	if (st != SYC_PLATFORM_OK)
		clear_list(list);
	else
		list->index = index;
	answer_waiters(list, st);
	query_again_or_clear(list);
}

static void begin_query(struct service_list *list)
{
	const struct target_lists_options *opt = &list->parent->opt;
	char path[PATH_BYTES_MAX];
	uint32_t wait_ms = list->index ? QUERY_WAIT_MS : 0;
	int n = snprintf(path, sizeof(path), "/v1/health/service/%s",
			 list->service);

	if (wait_ms)
		snprintf(path + n, sizeof(path) - (size_t)n,
			 "?index=%" PRIu64 "&wait=%" PRIu32 "ms", list->index,
			 wait_ms);
	list->is_querying = true;
	opt->fetch(opt->ctx, path, wait_ms, on_query_answer, list);
}

static void on_query_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	begin_query(w->data);
}

static void on_answer_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	answer_waiters(w->data, SYC_PLATFORM_OK);
}

static struct service_list *find_or_add(struct target_lists *l,
					const char *service)
{
	struct service_list *list;

	for (list = l->lists; list; list = list->next)
		if (!strcmp(list->service, service))
			return list;
	list = xcalloc(1, sizeof(*list));
	list->parent = l;
	list->next = l->lists;
	l->lists = list;
	copy_text(list->service, sizeof(list->service), service);
	ev_init(&list->answer_timer, on_answer_timer);
	ev_init(&list->query_timer, on_query_timer);
	list->answer_timer.data = list;
	list->query_timer.data = list;
	return list;
}

void target_lists_read(struct target_lists *l, const char *service,
		       void (*done)(void *arg, enum syc_platform_status st,
				    const struct syc_target *targets, size_t n),
		       void *arg)
{
	struct service_list *list = find_or_add(l, service);
	struct waiter *w = xcalloc(1, sizeof(*w));

	w->done = done;
	w->arg = arg;
	w->next = list->waiters;
	list->waiters = w;
	list->was_read = true;
	if (list->is_known)
		start_timer(list, &list->answer_timer, 0);
	else if (!list->is_querying)
		begin_query(list);
}

struct target_lists *target_lists_new(const struct target_lists_options *opt)
{
	struct target_lists *l = xcalloc(1, sizeof(*l));

	l->opt = *opt;
	return l;
}

void target_lists_free(struct target_lists *l)
{
	struct service_list *list, *next;
	struct waiter *w;

	for (list = l->lists; list; list = next) {
		next = list->next;
		ev_timer_stop(l->opt.loop, &list->answer_timer);
		ev_timer_stop(l->opt.loop, &list->query_timer);
		while ((w = list->waiters)) {
			list->waiters = w->next;
			free(w);
		}
		free(list->targets);
		free(list);
	}
	free(l);
}
