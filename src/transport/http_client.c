#include <stdlib.h>
#include <string.h>

#include "transport/http_client.h"
#include "transport/http_sock.h"
#include "transport/http_transfer.h"
#include "util/alloc.h"
#include "util/invariant.h"
#include "util/table.h"

enum {
	POOL_MAX = 1024, /* transfers kept for later requests */
	IDLE_CONNS_MAX = 4096, /* to all hosts together */
	/*
	 * Turns of the loop in which a request on a new connection is sent and
	 * its answer read: connecting, sending, reading, and one for curl's
	 * timer before each of the first two. A request that got fewer turns
	 * may have its answer in a socket that this process has not read.
	 */
	TURNS_MIN = 5
};

/* A timer of this length ends in the next turn of the loop. */
static const double next_turn_s = 0.0001;

struct http_client {
	struct ev_loop *loop;
	CURLM *multi;
	struct http_socks socks;
	long connect_ms;
	struct table calls; /* items: struct http_transfer * */
	struct http_transfer *pool;
	size_t n_pool;
	struct http_transfer *finished; /* `done` is not called yet */
	ev_timer timer; /* set by curl */
	ev_prepare deliver;
};

static void finish_transfer(struct http_transfer *t)
{
	struct http_client *c = t->client;

	if (t->running)
		curl_multi_remove_handle(c->multi, t->easy);
	t->running = false;
	ev_timer_stop(c->loop, &t->timer);
	t->next = c->finished;
	c->finished = t;
	ev_feed_event(c->loop, &c->deliver, EV_CUSTOM);
}

static void collect_finished(struct http_client *c)
{
	struct http_transfer *t;
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(c->multi, &left))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &t);
		t->curl_code = msg->data.result;
		finish_transfer(t);
	}
}

static void run_curl(struct http_client *c, curl_socket_t fd, int flags)
{
	int running;

	curl_multi_socket_action(c->multi, fd, flags, &running);
	collect_finished(c);
}

static void on_socket(void *ctx, curl_socket_t fd, int flags)
{
	run_curl(ctx, fd, flags);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	run_curl(w->data, CURL_SOCKET_TIMEOUT, 0);
}

static int set_timer(CURLM *multi, long ms, void *arg)
{
	struct http_client *c = arg;

	ev_timer_stop(c->loop, &c->timer);
	if (ms < 0)
		return 0;
	ev_timer_set(&c->timer, (double)ms / 1000, 0);
	ev_timer_start(c->loop, &c->timer);
	return 0;
}

/* Returns a transfer to the pool, or frees it if the pool is full. */
static void recycle(struct http_client *c, struct http_transfer *t)
{
	http_transfer_clear(t);
	if (c->n_pool >= POOL_MAX) {
		http_transfer_free(t);
		return;
	}
	t->next = c->pool;
	c->pool = t;
	c->n_pool++;
}

static void on_deliver(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct http_client *c = w->data;
	struct http_answer answer;
	struct http_transfer *t;

	while ((t = c->finished)) {
		c->finished = t->next;
		table_del(&c->calls, t->handle);
		http_transfer_answer(t, &answer);
		t->done(t->arg, &answer);
		recycle(c, t);
	}
}

static void on_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct http_transfer *t = w->data;

	if (ev_iteration(loop) - t->first_turn < TURNS_MIN) {
		ev_timer_set(w, next_turn_s, 0);
		ev_timer_start(loop, w);
		return;
	}
	t->end = t->sent ? HTTP_TIMEOUT : HTTP_NOT_SENT;
	copy_text(t->message, sizeof(t->message),
		  t->sent ? "no whole answer in time"
			  : "no connection in time");
	finish_transfer(t);
}

struct http_client *http_client_new(const struct http_client_options *opt)
{
	struct http_client *c = xcalloc(1, sizeof(*c));

	invariant(!curl_global_init(CURL_GLOBAL_DEFAULT));
	c->loop = opt->loop;
	c->connect_ms = opt->connect_ms;
	c->socks.loop = opt->loop;
	c->socks.ctx = c;
	c->socks.ready = on_socket;
	http_socks_init(&c->socks);
	c->multi = curl_multi_init();
	invariant(c->multi);
	table_init(&c->calls, sizeof(struct http_transfer *));
	ev_timer_init(&c->timer, on_timer, 0, 0);
	ev_prepare_init(&c->deliver, on_deliver);
	c->timer.data = c->deliver.data = c;
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, http_socks_watch);
	curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, &c->socks);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
	curl_multi_setopt(c->multi, CURLMOPT_PIPELINING,
			  (long)CURLPIPE_NOTHING);
	curl_multi_setopt(c->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  opt->conns_per_host);
	curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS, (long)IDLE_CONNS_MAX);
	return c;
}

static void free_transfers(struct http_transfer *t)
{
	struct http_transfer *next;

	for (; t; t = next) {
		next = t->next;
		http_transfer_free(t);
	}
}

void http_client_free(struct http_client *c)
{
	struct http_transfer **t;
	uint64_t handle;
	uint32_t pos = 0;

	if (!c)
		return;
	while ((t = table_next(&c->calls, &pos, &handle)))
		if ((*t)->running)
			finish_transfer(*t);
	ev_clear_pending(c->loop, &c->deliver);
	free_transfers(c->finished);
	free_transfers(c->pool);
	curl_multi_cleanup(c->multi);
	http_socks_free(&c->socks);
	ev_timer_stop(c->loop, &c->timer);
	table_free(&c->calls);
	curl_global_cleanup();
	free(c);
}

static struct http_transfer *take_transfer(struct http_client *c)
{
	struct http_transfer *t = c->pool;

	if (!t) {
		t = http_transfer_new(c, &c->socks, c->connect_ms);
		invariant(t);
		return t;
	}
	c->pool = t->next;
	c->n_pool--;
	t->next = NULL;
	return t;
}

uint64_t http_client_send(struct http_client *c, const struct http_call *call,
			  void (*done)(void *arg, const struct http_answer *a),
			  void *arg)
{
	struct http_transfer *t = take_transfer(c);
	void *item;

	t->handle = table_add(&c->calls, &item);
	*(struct http_transfer **)item = t;
	t->done = done;
	t->arg = arg;
	ev_timer_init(&t->timer, on_timeout, (double)call->timeout_ms / 1000,
		      0);
	t->timer.data = t;
	t->first_turn = ev_iteration(c->loop);
	if (!http_transfer_set(t, call)) {
		t->end = HTTP_NOT_SENT;
		finish_transfer(t);
		return t->handle;
	}
	ev_timer_start(c->loop, &t->timer);
	t->running = true;
	curl_multi_add_handle(c->multi, t->easy);
	return t->handle;
}

void http_client_cancel(struct http_client *c, uint64_t call)
{
	struct http_transfer **at = table_get(&c->calls, call);
	struct http_transfer *t;

	if (!at || !(*at)->running)
		return;
	t = *at;
	t->end = t->sent ? HTTP_CANCELLED : HTTP_NOT_SENT;
	copy_text(t->message, sizeof(t->message), "stopped");
	finish_transfer(t);
}
