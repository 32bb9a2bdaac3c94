#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/caller_server.h"
#include "protocol/caller_json.h"
#include "transport/http_server.h"
#include "util/alloc.h"
#include "util/buf.h"
#include "util/index.h"

enum { STATUS_MIN = 200, STATUS_MAX = 600 };

enum route { ROUTE_JOBS, ROUTE_REQUESTS, ROUTE_JOB, ROUTE_TICKETS, ROUTE_NONE };

static const char *const route_names[] = {
	[ROUTE_JOBS] = "/v1/jobs",	[ROUTE_REQUESTS] = "/v1/requests",
	[ROUTE_JOB] = "/v1/jobs/{key}", [ROUTE_TICKETS] = "/v1/tickets",
	[ROUTE_NONE] = "none",
};

struct caller_server {
	struct caller_server_options opt;
	struct http_server *server;
	struct index routes; /* routes of open requests by request id */
	uint64_t *counters[ROUTE_NONE + 1][STATUS_MAX - STATUS_MIN];
};

static void count_answer(struct caller_server *c, enum route route,
			 unsigned status)
{
	uint64_t **counter;
	char labels[64];

	if (status < STATUS_MIN || status >= STATUS_MAX)
		return;
	counter = &c->counters[route][status - STATUS_MIN];
	if (!*counter) {
		snprintf(labels, sizeof(labels), "route=\"%s\",status=\"%u\"",
			 route_names[route], status);
		*counter = metrics_get(c->opt.metrics, METRIC_COUNTER,
				       "sycamoreshore_requests_total",
				       "Answered requests of callers.", labels);
	}
	++**counter;
}

static void reply(struct caller_server *c, uint64_t id, enum route route,
		  unsigned status, uint32_t retry_after_ms,
		  const struct buf *body)
{
	struct http_reply reply = {
		.status = status,
		.content_type = "application/json",
		.retry_after_s = caller_retry_after_s(retry_after_ms),
		.body = {body->data, body->len},
	};

	count_answer(c, route, status);
	http_server_reply(c->server, id, &reply);
}

static void reply_error(struct caller_server *c, uint64_t id, enum route route,
			unsigned status, const struct caller_error *err)
{
	struct buf auto_buf body = {0};

	caller_error_write(&body, err);
	reply(c, id, route, status, 0, &body);
}

/* Refuses a request with a reason and the status of that reason. */
static void refuse(struct caller_server *c, uint64_t id, enum route route,
		   enum syc_reason reason, const char *detail)
{
	struct caller_error err = {.reason = reason};

	copy_text(err.detail, sizeof(err.detail), detail);
	reply_error(c, id, route, caller_http_status(SYC_NOT_RUN, reason),
		    &err);
}

/* Refuses an unknown path (404) or method (405). */
static void refuse_path(struct caller_server *c, uint64_t id, enum route route,
			unsigned status)
{
	struct caller_error err = {.reason = SYC_BAD_REQUEST};

	copy_text(err.detail, sizeof(err.detail),
		  status == 404 ? "no such path" : "no such method here");
	reply_error(c, id, route, status, &err);
}

/* Returns the caller with the request's bearer token, or NULL. */
static const struct syc_caller *find_caller(const struct syc_bundle *b,
					    const struct http_request *req)
{
	static const char scheme[] = "Bearer ";
	const char *auth = req->authorization;

	if (!auth || strncasecmp(auth, scheme, sizeof(scheme) - 1))
		return NULL;
	return syc_bundle_caller_by_token(b, auth + sizeof(scheme) - 1);
}

static void submit(struct caller_server *c, uint64_t id, enum route route,
		   const struct http_request *req, const struct syc_bundle *b,
		   const struct syc_caller *caller)
{
	const char *key = req->idempotency_key;
	struct caller_error err;
	struct caller_job job;

	if (key && !caller_key_valid(key)) {
		refuse(c, id, route, SYC_BAD_REQUEST,
		       "Idempotency-Key must be 1 to 127 visible ASCII bytes");
		return;
	}
	if (caller_job_read(&job, req->body, route == ROUTE_REQUESTS, &err)) {
		reply_error(c, id, route,
			    caller_http_status(SYC_NOT_RUN, err.reason), &err);
		return;
	}
	if (!syc_bundle_kind(b, job.kind)) {
		refuse(c, id, route, SYC_BAD_REQUEST,
		       "the bundle knows no such kind");
		caller_job_free(&job);
		return;
	}
	job.spec.caller = caller->name;
	index_put(&c->routes, index_hash_number(id), route);
	c->opt.submit(c->opt.ctx, id, key, &job.spec);
	caller_job_free(&job);
}

static void issue_tickets(struct caller_server *c, uint64_t id,
			  const struct http_request *req,
			  const struct syc_caller *caller)
{
	const char *arg = http_query(req, "count");
	struct buf auto_buf body = {0};
	char ticket[SYC_KEY_MAX];
	char *end = NULL;
	long n = arg ? strtol(arg, &end, 10) : 1;
	long i;

	if (n < 1 || n > CALLER_TICKETS_MAX || (end && (*end || end == arg))) {
		refuse(c, id, ROUTE_TICKETS, SYC_BAD_REQUEST,
		       "count must be from 1 to 1000");
		return;
	}
	buf_puts(&body, "{\"tickets\":[");
	for (i = 0; i < n; i++) {
		if (!c->opt.issue_ticket(c->opt.ctx, caller->name, ticket)) {
			refuse(c, id, ROUTE_TICKETS, SYC_NOT_READY,
			       "no tickets can be minted yet");
			return;
		}
		buf_printf(&body, "%s\"%s\"", i ? "," : "", ticket);
	}
	buf_puts(&body, "]}");
	reply(c, id, ROUTE_TICKETS, 200, 0, &body);
}

static void show_or_cancel(struct caller_server *c, uint64_t id,
			   const struct http_request *req,
			   const struct syc_caller *caller)
{
	const char *key = req->path + strlen("/v1/jobs/");

	if (!caller_key_valid(key)) {
		refuse(c, id, ROUTE_JOB, SYC_BAD_REQUEST,
		       "the key must be 1 to 127 visible ASCII bytes");
		return;
	}
	index_put(&c->routes, index_hash_number(id), ROUTE_JOB);
	if (!strcmp(req->method, "DELETE"))
		c->opt.cancel(c->opt.ctx, id, caller->name, key);
	else
		c->opt.show(c->opt.ctx, id, caller->name, key);
}

static enum route find_route(const char *path)
{
	if (!strncmp(path, "/v1/jobs/", strlen("/v1/jobs/")))
		return ROUTE_JOB;
	if (!strcmp(path, route_names[ROUTE_JOBS]))
		return ROUTE_JOBS;
	if (!strcmp(path, route_names[ROUTE_REQUESTS]))
		return ROUTE_REQUESTS;
	if (!strcmp(path, route_names[ROUTE_TICKETS]))
		return ROUTE_TICKETS;
	return ROUTE_NONE;
}

static bool is_method_allowed(enum route route, const char *method)
{
	if (route == ROUTE_JOB)
		return !strcmp(method, "GET") || !strcmp(method, "DELETE");
	return !strcmp(method, "POST");
}

static void on_request(void *ctx, uint64_t id, const struct http_request *req)
{
	struct caller_server *c = ctx;
	enum route route = find_route(req->path);
	struct syc_bundle *b = c->opt.bundle(c->opt.ctx);
	const struct syc_caller *caller;

	if (route == ROUTE_NONE) {
		refuse_path(c, id, route, 404);
		return;
	}
	if (!is_method_allowed(route, req->method)) {
		refuse_path(c, id, route, 405);
		return;
	}
	if (!b) {
		refuse(c, id, route, SYC_NOT_READY, "no bundle yet");
		return;
	}
	caller = find_caller(b, req);
	if (!caller)
		refuse(c, id, route, SYC_UNAUTHORIZED,
		       "a known bearer token is needed");
	else if (route == ROUTE_TICKETS)
		issue_tickets(c, id, req, caller);
	else if (route == ROUTE_JOB)
		show_or_cancel(c, id, req, caller);
	else
		submit(c, id, route, req, b, caller);
}

static void on_client_gone(void *ctx, uint64_t id)
{
	struct caller_server *c = ctx;
	uint64_t route;

	if (!index_get(&c->routes, index_hash_number(id), &route))
		return;
	index_del(&c->routes, index_hash_number(id));
	c->opt.client_gone(c->opt.ctx, id);
}

/*
 * Removes the open request `tag` and sets its route; false when its connection
 * was closed.
 */
static bool end_request(struct caller_server *c, uint64_t tag,
			enum route *route)
{
	uint64_t val;

	if (!index_get(&c->routes, index_hash_number(tag), &val))
		return false;
	index_del(&c->routes, index_hash_number(tag));
	*route = (enum route)val;
	return true;
}

void caller_server_answer(struct caller_server *c, uint64_t tag,
			  const struct syc_answer *answer)
{
	struct buf auto_buf body = {0};
	enum route route;

	if (!end_request(c, tag, &route))
		return;
	caller_answer_write(&body, answer);
	reply(c, tag, route,
	      caller_http_status(answer->outcome, answer->reason),
	      answer->retry_after_ms, &body);
}

void caller_server_answer_state(struct caller_server *c, uint64_t tag,
				const char *state,
				const struct syc_answer *answer)
{
	struct buf auto_buf body = {0};
	enum route route;

	if (!end_request(c, tag, &route))
		return;
	caller_state_write(&body, state, answer);
	reply(c, tag, route, strcmp(state, "not_found") ? 200 : 404, 0, &body);
}

enum transport_status caller_server_new(struct caller_server **c,
					const struct caller_server_options *opt)
{
	const struct settings *s = opt->settings;
	struct http_server_options server = {
		.loop = opt->loop,
		.listen = s->callers,
		.body_max = s->body_max,
		.conns_max = s->connections_max,
		.idle_s = s->idle_s,
		.request = on_request,
		.client_gone = on_client_gone,
	};
	enum transport_status st;

	*c = xcalloc(1, sizeof(**c));
	(*c)->opt = *opt;
	server.ctx = *c;
	st = http_server_new(&(*c)->server, &server);
	if (st) {
		free(*c);
		*c = NULL;
	}
	return st;
}

void caller_server_free(struct caller_server *c)
{
	if (!c)
		return;
	http_server_free(c->server);
	index_free(&c->routes);
	free(c);
}

uint16_t caller_server_port(const struct caller_server *c)
{
	return http_server_port(c->server);
}

void caller_server_quiesce(struct caller_server *c)
{
	http_server_quiesce(c->server);
}

size_t caller_server_open(const struct caller_server *c)
{
	return http_server_open_count(c->server);
}
