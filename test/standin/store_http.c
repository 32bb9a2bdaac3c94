/* The HTTP server of the store stand-in. */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "store.h"

enum { STORE_CONNS_MAX = 4096, STORE_WAIT_MAX_S = 600 };

const char *store_query(const struct store_request *r, const char *name)
{
	const char *val = NULL;
	size_t len;

	if (MHD_lookup_connection_value_n(r->conn, MHD_GET_ARGUMENT_KIND, name,
					  strlen(name), &val, &len) != MHD_YES)
		return NULL;
	return val ? val : "";
}

void store_reply(struct store_request *r, unsigned status, char *text,
		 size_t len)
{
	free(r->reply);
	r->status = status;
	r->reply = text;
	r->reply_len = len;
}

static void suspend_request(struct store_request *r)
{
	r->suspended = true;
	MHD_suspend_connection(r->conn);
}

static void resume_request(struct store_request *r)
{
	if (!r->suspended)
		return;
	r->suspended = false;
	MHD_resume_connection(r->conn);
	ev_feed_event(r->store->loop, &r->store->io, EV_READ);
}

static void unlink_waiting(struct store_request *r)
{
	struct store_request **at = &r->store->waiting;

	while (*at && *at != r)
		at = &(*at)->next;
	if (*at)
		*at = r->next;
	r->next = NULL;
}

void store_wake(struct store *s)
{
	struct store_request *r;

	while ((r = s->waiting)) {
		s->waiting = r->next;
		r->next = NULL;
		resume_request(r);
	}
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct store_request *r = w->data;

	r->waited = true;
	unlink_waiting(r);
	resume_request(r);
}

static void start_timer(struct store_request *r, double seconds)
{
	ev_timer_stop(r->store->loop, &r->timer);
	ev_timer_set(&r->timer, seconds, 0);
	ev_timer_start(r->store->loop, &r->timer);
}

/*
 * Returns the wait time of a blocking query, which it states as "30s", "500ms"
 * or a number of seconds.
 */
static double wait_seconds(const struct store_request *r)
{
	const char *text = store_query(r, "wait");
	char *end;
	double val;

	if (!text)
		return STORE_WAIT_MAX_S;
	val = strtod(text, &end);
	if (!strcmp(end, "ms"))
		val /= 1000;
	return val > STORE_WAIT_MAX_S ? STORE_WAIT_MAX_S : val;
}

static enum MHD_Result send_reply(struct store_request *r)
{
	struct MHD_Response *resp;
	enum MHD_Result res;
	char index[32];

	if (r->loses_reply)
		return MHD_NO;
	resp = MHD_create_response_from_buffer(r->reply_len, r->reply,
					       MHD_RESPMEM_MUST_COPY);
	if (r->index) {
		snprintf(index, sizeof(index), "%llu",
			 (unsigned long long)r->index);
		MHD_add_response_header(resp, "X-Consul-Index", index);
	}
	res = MHD_queue_response(r->conn, r->status, resp);
	MHD_destroy_response(resp);
	return res;
}

static enum MHD_Result handle_complete(struct store_request *r,
				       const char *method, const char *url)
{
	struct store *s = r->store;
	bool control = !strncmp(url, "/standin/", 9);

	if (s->knobs.down && !control)
		return MHD_NO;
	if (r->status)
		return send_reply(r);
	if (!store_answer(r, method, url)) {
		if (!ev_is_active(&r->timer))
			start_timer(r, wait_seconds(r));
		r->next = s->waiting;
		s->waiting = r;
		suspend_request(r);
		return MHD_YES;
	}
	ev_timer_stop(s->loop, &r->timer);
	if (!s->knobs.slow_ms || control)
		return send_reply(r);
	start_timer(r, (double)s->knobs.slow_ms / 1000);
	suspend_request(r);
	return MHD_YES;
}

static void add_body(struct store_request *r, const char *data, size_t n)
{
	if (r->len + n > STORE_VALUE_MAX) {
		r->too_long = true;
		return;
	}
	r->body = realloc(r->body, r->len + n);
	if (!r->body)
		abort();
	memcpy(r->body + r->len, data, n);
	r->len += n;
}

static enum MHD_Result on_access(void *ctx, struct MHD_Connection *conn,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *data_size, void **state)
{
	struct store_request *r = *state;

	if (!r) {
		r = calloc(1, sizeof(*r));
		if (!r)
			return MHD_NO;
		r->store = ctx;
		r->conn = conn;
		ev_timer_init(&r->timer, on_timer, 0, 0);
		r->timer.data = r;
		*state = r;
		return MHD_YES;
	}
	if (*data_size) {
		add_body(r, data, *data_size);
		*data_size = 0;
		return MHD_YES;
	}
	return handle_complete(r, method, url);
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct store_request *r = *state;

	if (!r)
		return;
	unlink_waiting(r);
	ev_timer_stop(r->store->loop, &r->timer);
	free(r->body);
	free(r->reply);
	free(r);
	*state = NULL;
}

/* Runs MHD and sets the timer for its next timeout, if it has one. */
static void run_daemon(struct store *s)
{
	MHD_UNSIGNED_LONG_LONG ms;

	MHD_run(s->daemon);
	ev_timer_stop(s->loop, &s->mhd_timer);
	if (MHD_get_timeout(s->daemon, &ms) != MHD_YES)
		return;
	ev_timer_set(&s->mhd_timer, (double)ms / 1000, 0);
	ev_timer_start(s->loop, &s->mhd_timer);
}

static void on_io(struct ev_loop *loop, ev_io *w, int events)
{
	run_daemon(w->data);
}

static void on_mhd_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	run_daemon(w->data);
}

bool store_listen(struct store *s, const char *ip, uint16_t port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
				  .sin_port = htons(port)};

	if (inet_pton(AF_INET, ip, &sin.sin_addr) != 1)
		return false;
	s->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		on_access, s, MHD_OPTION_SOCK_ADDR, &sin,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned)STORE_CONNS_MAX,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_END);
	if (!s->daemon)
		return false;
	s->port =
		MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
	ev_io_init(&s->io, on_io,
		   MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_EPOLL_FD)
			   ->epoll_fd,
		   EV_READ);
	ev_timer_init(&s->mhd_timer, on_mhd_timeout, 0, 0);
	s->io.data = s;
	s->mhd_timer.data = s;
	ev_io_start(s->loop, &s->io);
	return true;
}
