#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include "transport/http_conn.h"
#include "util/alloc.h"
#include "util/invariant.h"

enum {
	CLOSED_BATCH = 64, /* events read at once */
	DISCARD_MAX = 64 * 1024, /* bytes discarded of one request body */
	REPLY_IDLE_FACTOR = 10 /* multiple of idle_s, for reading a reply */
};

void http_conn_notify(void *arg, struct MHD_Connection *mhd, void **ctx,
		      enum MHD_ConnectionNotificationCode code)
{
	const union MHD_ConnectionInfo *info;
	struct epoll_event ev = {.events = EPOLLRDHUP | EPOLLET};
	struct http_server *s = arg;
	struct http_conn *c = *ctx;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		*c->prev = c->next;
		if (c->next)
			c->next->prev = c->prev;
		free(c);
		*ctx = NULL;
		return;
	}
	c = xcalloc(1, sizeof(*c));
	*ctx = c;
	info = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	c->fd = info->connect_fd;
	c->mhd = mhd;
	c->waiting_since = ev_now(s->loop);
	c->next = s->conns;
	c->prev = &s->conns;
	if (c->next)
		c->next->prev = &c->next;
	s->conns = c;
	ev.data.ptr = c;
	epoll_ctl(s->closed_epoll_fd, EPOLL_CTL_ADD, c->fd, &ev);
}

static struct http_conn *get_conn(struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info->socket_context;
}

static void set_stage(struct http_server *s, struct http_exchange *r,
		      enum http_stage stage)
{
	s->n_reading -= r->stage == HTTP_READING;
	r->stage = stage;
}

static void close_request(struct http_server *s, struct http_exchange *r)
{
	s->n_reading -= r->stage == HTTP_READING;
	if (r->is_counted)
		s->n_open--;
	r->conn->request = 0;
	r->conn->waiting_since = ev_now(s->loop);
	buf_free(&r->body);
	table_del(&s->requests, r->id);
}

void http_conn_request_completed(void *arg, struct MHD_Connection *mhd,
				 void **req,
				 enum MHD_RequestTerminationCode code)
{
	struct http_server *s = arg;
	struct http_exchange *r = *req;
	uint64_t id;

	if (!r)
		return;
	*req = NULL;
	id = r->id;
	if (r->stage == HTTP_AWAITING_REPLY && !s->freeing) {
		close_request(s, r);
		s->opt.client_gone(s->opt.ctx, id);
		return;
	}
	close_request(s, r);
}

static enum MHD_Result queue_reply(struct http_server *s,
				   struct MHD_Connection *mhd,
				   const struct http_reply *reply)
{
	struct MHD_Response *res;
	enum MHD_Result ok;
	char secs[16];

	res = MHD_create_response_from_buffer(reply->body.n,
					      (void *)(uintptr_t)reply->body.p,
					      MHD_RESPMEM_MUST_COPY);
	if (!res)
		return MHD_NO;
	if (reply->content_type)
		MHD_add_response_header(res, MHD_HTTP_HEADER_CONTENT_TYPE,
					reply->content_type);
	if (reply->retry_after_s) {
		snprintf(secs, sizeof(secs), "%u", reply->retry_after_s);
		MHD_add_response_header(res, MHD_HTTP_HEADER_RETRY_AFTER, secs);
	}
	if (s->quiesced || s->draining)
		MHD_add_response_header(res, MHD_HTTP_HEADER_CONNECTION,
					"close");
	ok = MHD_queue_response(mhd, reply->status, res);
	MHD_destroy_response(res);
	return ok;
}

static enum MHD_Result reply_too_large(struct http_server *s,
				       struct MHD_Connection *mhd,
				       struct http_exchange *r)
{
	static const char text[] =
		"{\"outcome\":\"not_run\",\"reason\":\"too_large\","
		"\"detail\":\"the body is over the limit\"}";
	struct http_reply reply = {.status = MHD_HTTP_CONTENT_TOO_LARGE,
				   .content_type = "application/json",
				   .body = {text, sizeof(text) - 1}};

	set_stage(s, r, HTTP_REPLYING);
	return queue_reply(s, mhd, &reply);
}

/* The server is about to be freed, so the request is not passed on. */
static enum MHD_Result reply_stopping(struct http_server *s,
				      struct MHD_Connection *mhd,
				      struct http_exchange *r)
{
	static const char text[] = "{\"error\":\"stopping\"}";
	struct http_reply reply = {.status = MHD_HTTP_SERVICE_UNAVAILABLE,
				   .content_type = "application/json",
				   .retry_after_s = 1,
				   .body = {text, sizeof(text) - 1}};

	set_stage(s, r, HTTP_REPLYING);
	return queue_reply(s, mhd, &reply);
}

static enum MHD_Result begin_request(struct http_server *s,
				     struct MHD_Connection *mhd, void **req)
{
	struct http_exchange *r;
	const char *len;
	void *item;
	uint64_t id;

	id = table_add(&s->requests, &item);
	r = item;
	r->id = id;
	s->n_reading++;
	r->conn = get_conn(mhd);
	r->conn->request = id;
	*req = r;
	len = MHD_lookup_connection_value(mhd, MHD_HEADER_KIND,
					  MHD_HTTP_HEADER_CONTENT_LENGTH);
	if (len && strtoull(len, NULL, 10) > s->opt.body_max)
		return reply_too_large(s, mhd, r);
	return MHD_YES;
}

/*
 * If a chunked body exceeds the limit, its remaining bytes are read and
 * discarded. The connection is closed if they are more than DISCARD_MAX.
 */
static enum MHD_Result add_body(struct http_server *s, struct http_exchange *r,
				const char *data, size_t *size)
{
	size_t n = *size;

	*size = 0;
	if (!r->too_large && n <= s->opt.body_max - r->body.len) {
		buf_add(&r->body, data, n);
		return MHD_YES;
	}
	r->too_large = true;
	r->discarded += n;
	return r->discarded > DISCARD_MAX ? MHD_NO : MHD_YES;
}

static const char *get_header(struct MHD_Connection *mhd, const char *name)
{
	return MHD_lookup_connection_value(mhd, MHD_HEADER_KIND, name);
}

static enum MHD_Result call_handler(struct http_server *s,
				    struct MHD_Connection *mhd,
				    struct http_exchange *r, const char *url,
				    const char *method)
{
	struct http_request req = {
		.method = method,
		.path = url,
		.authorization = get_header(mhd, MHD_HTTP_HEADER_AUTHORIZATION),
		.idempotency_key = get_header(mhd, "Idempotency-Key"),
		.content_type = get_header(mhd, MHD_HTTP_HEADER_CONTENT_TYPE),
		.body = {r->body.data, r->body.len},
		.conn = mhd,
	};

	if (r->conn->closed)
		return MHD_NO;
	set_stage(s, r, HTTP_AWAITING_REPLY);
	r->is_counted = true;
	s->n_open++;
	s->in_callback = r->id;
	s->opt.request(s->opt.ctx, r->id, &req);
	s->in_callback = 0;
	buf_free(&r->body);
	if (r->stage == HTTP_AWAITING_REPLY)
		MHD_suspend_connection(mhd);
	return MHD_YES;
}

enum MHD_Result http_conn_handle(void *arg, struct MHD_Connection *mhd,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *size, void **req)
{
	struct http_server *s = arg;
	struct http_exchange *r = *req;

	if (!r)
		return begin_request(s, mhd, req);
	if (r->stage == HTTP_ABANDONED)
		return MHD_NO;
	if (r->stage != HTTP_READING)
		return MHD_YES;
	if (*size)
		return add_body(s, r, data, size);
	if (r->too_large)
		return reply_too_large(s, mhd, r);
	if (s->freeing)
		return reply_stopping(s, mhd, r);
	return call_handler(s, mhd, r, url, method);
}

void http_server_reply(struct http_server *s, uint64_t id,
		       const struct http_reply *reply)
{
	struct http_exchange *r = table_get(&s->requests, id);

	if (!r || r->stage != HTTP_AWAITING_REPLY)
		return;
	r->stage = HTTP_REPLYING;
	r->conn->waiting_since = ev_now(s->loop);
	if (queue_reply(s, r->conn->mhd, reply) != MHD_YES)
		r->stage = HTTP_ABANDONED;
	if (s->in_callback == id)
		return;
	MHD_resume_connection(r->conn->mhd);
	http_server_schedule_run(s);
}

const char *http_header(const struct http_request *req, const char *name)
{
	struct MHD_Connection *mhd = (void *)(uintptr_t)req->conn;

	return get_header(mhd, name);
}

const char *http_query(const struct http_request *req, const char *name)
{
	struct MHD_Connection *mhd = (void *)(uintptr_t)req->conn;

	return MHD_lookup_connection_value(mhd, MHD_GET_ARGUMENT_KIND, name);
}

static void handle_closed_conn(struct http_server *s, struct http_conn *c)
{
	struct http_exchange *r = table_get(&s->requests, c->request);
	uint64_t id = c->request;

	c->closed = true;
	if (!r || r->stage != HTTP_AWAITING_REPLY)
		return;
	r->stage = HTTP_ABANDONED;
	MHD_resume_connection(c->mhd);
	http_server_schedule_run(s);
	s->opt.client_gone(s->opt.ctx, id);
}

void http_conns_handle_closed(struct http_server *s)
{
	struct epoll_event ev[CLOSED_BATCH];
	int i, n;

	n = epoll_wait(s->closed_epoll_fd, ev, CLOSED_BATCH, 0);
	for (i = 0; i < n; i++)
		handle_closed_conn(s, ev[i].data.ptr);
}

/* Returns how many seconds `c` may wait for its client. */
static double max_wait_s(const struct http_server *s, const struct http_conn *c)
{
	const struct http_exchange *r = table_get(&s->requests, c->request);

	if (!r || r->stage == HTTP_READING)
		return s->opt.idle_s;
	return (double)s->opt.idle_s * REPLY_IDLE_FACTOR;
}

void http_conns_close_idle(struct http_server *s)
{
	const struct http_exchange *r;
	struct http_conn *c;

	for (c = s->conns; c; c = c->next) {
		r = table_get(&s->requests, c->request);
		if (r && r->stage == HTTP_AWAITING_REPLY)
			continue;
		if (ev_now(s->loop) - c->waiting_since > max_wait_s(s, c))
			shutdown(c->fd, SHUT_RDWR);
	}
}

void http_conns_abandon(struct http_server *s)
{
	struct http_exchange *r;
	struct http_conn *c;

	for (c = s->conns; c; c = c->next) {
		r = table_get(&s->requests, c->request);
		if (!r || r->stage != HTTP_AWAITING_REPLY)
			continue;
		r->stage = HTTP_ABANDONED;
		MHD_resume_connection(c->mhd);
	}
}
