#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/target_lists.h"
#include "cmd/platform_client.h"
#include "protocol/consul.h"
#include "transport/http_client.h"
#include "util/alloc.h"

enum {
	PLATFORM_CONNS_MAX = 96, /* each watch and list query occupies one */
	WAIT_JITTER_DIVISOR = 16, /* Consul adds up to 1/16 of a wait */
	PLATFORM_CONNECT_TIMEOUT_MS = 1000,
	PLATFORM_PATH_MAX = 256,
	TARGET_BYTES = 1024, /* size of one target in a health answer */
	HEALTH_ANSWER_MAX = CONSUL_TARGETS_MAX * TARGET_BYTES
};

struct platform_client {
	struct http_client *client;
	struct syc_addr store;
	uint32_t timeout_ms;
	char *token_header; /* or NULL */
	uint64_t calls;
	/* The last call to end got no answer, so idle connections may be dead. */
	bool lost_answer;
	struct target_lists *lists;
	struct platform_call *in_flight;
};

/* One call in flight. */
struct platform_call {
	struct platform_client *platform;
	struct platform_call *next, **link;
	void (*value_done)(void *arg, const struct syc_platform_value *v);
	void *arg;
	bool is_write;
};

static struct platform_call *call_new(struct platform_client *p, void *arg)
{
	struct platform_call *c = xcalloc(1, sizeof(*c));

	c->platform = p;
	c->arg = arg;
	c->next = p->in_flight;
	c->link = &p->in_flight;
	if (c->next)
		c->next->link = &c->next;
	p->in_flight = c;
	p->calls++;
	return c;
}

static void call_free(struct platform_call *c)
{
	*c->link = c->next;
	if (c->next)
		c->next->link = c->link;
	free(c);
}

/* Returns the status of a call that got no complete answer. */
static enum syc_platform_status failure_status(const struct platform_call *c,
					       enum http_end end)
{
	if (end == HTTP_NOT_SENT || !c->is_write)
		return SYC_PLATFORM_UNREACHABLE;
	return SYC_PLATFORM_UNCERTAIN;
}

static void finish_call(struct platform_call *c,
			const struct syc_platform_value *v)
{
	c->value_done(c->arg, v);
	call_free(c);
}

static void on_get_answer(void *arg, const struct http_answer *a)
{
	struct platform_call *c = arg;
	auto_buf struct buf value = {0};
	struct syc_platform_value v = {.message = a->message};

	c->platform->lost_answer = a->end != HTTP_ANSWERED;
	if (a->end != HTTP_ANSWERED) {
		v.status = failure_status(c, a->end);
	} else if (a->status == 404) {
		v.status = SYC_PLATFORM_ABSENT;
	} else if (a->status != 200) {
		v.status = SYC_PLATFORM_ERROR;
		v.message = "store answered a read with a status other than "
			    "200 or 404";
	} else if (consul_read_key(a->body, &value, &v.index)) {
		v.status = SYC_PLATFORM_ERROR;
		v.message = protocol_last_error();
	} else {
		v.value.p = value.data ? value.data : "";
		v.value.n = value.len;
	}
	finish_call(c, &v);
}

static bool body_starts_with(const struct http_answer *a, const char *text)
{
	size_t n = strlen(text);

	return a->body.n >= n && !memcmp(a->body.p, text, n);
}

static void on_cas_answer(void *arg, const struct http_answer *a)
{
	struct platform_call *c = arg;
	struct syc_platform_value v = {.message = a->message};

	c->platform->lost_answer = a->end != HTTP_ANSWERED;
	if (a->end != HTTP_ANSWERED) {
		v.status = failure_status(c, a->end);
	} else if (a->status == 200 && body_starts_with(a, "true")) {
		v.status = SYC_PLATFORM_OK;
	} else if (a->status == 200 && body_starts_with(a, "false")) {
		v.status = SYC_PLATFORM_CONFLICT;
	} else if (a->status == 200 || a->status >= 500) {
		/* Consul may have failed after it applied the write. */
		v.status = SYC_PLATFORM_UNCERTAIN;
		v.message = "store failed during the write";
	} else {
		v.status = SYC_PLATFORM_ERROR;
		v.message = "store refused the write";
	}
	finish_call(c, &v);
}

static void send_call(struct platform_call *c, const char *method,
		      const char *path, struct syc_bytes body, uint32_t wait_ms,
		      size_t body_max,
		      void (*done)(void *arg, const struct http_answer *a))
{
	struct platform_client *p = c->platform;
	const char *headers[] = {p->token_header, NULL};
	struct http_call call = {
		.method = method,
		.addr = p->store,
		.path = path,
		.headers = headers,
		.body = body,
		.timeout_ms = p->timeout_ms + wait_ms,
		.body_max = body_max,
		.new_connection = p->lost_answer,
	};

	http_client_send(p->client, &call, done, c);
}

static void client_get(void *ctx, const char *key,
		       void (*done)(void *arg,
				    const struct syc_platform_value *v),
		       void *arg)
{
	struct platform_call *c = call_new(ctx, arg);
	char path[PLATFORM_PATH_MAX];

	c->value_done = done;
	snprintf(path, sizeof(path), "/v1/kv/%s", key);
	send_call(c, "GET", path, (struct syc_bytes){NULL, 0}, 0,
		  CONSUL_ANSWER_MAX, on_get_answer);
}

static void client_watch(
	void *ctx, const char *key, uint64_t index, uint32_t wait_ms,
	void (*done)(void *arg, const struct syc_platform_value *v), void *arg)
{
	struct platform_call *c = call_new(ctx, arg);
	char path[PLATFORM_PATH_MAX];

	c->value_done = done;
	snprintf(path, sizeof(path),
		 "/v1/kv/%s?index=%" PRIu64 "&wait=%" PRIu32 "ms", key, index,
		 wait_ms);
	send_call(c, "GET", path, (struct syc_bytes){NULL, 0},
		  wait_ms + wait_ms / WAIT_JITTER_DIVISOR, CONSUL_ANSWER_MAX,
		  on_get_answer);
}

static void client_cas(
	void *ctx, const char *key, uint64_t index, struct syc_bytes value,
	void (*done)(void *arg, const struct syc_platform_value *v), void *arg)
{
	struct platform_call *c = call_new(ctx, arg);
	char path[PLATFORM_PATH_MAX];

	c->value_done = done;
	c->is_write = true;
	snprintf(path, sizeof(path), "/v1/kv/%s?cas=%" PRIu64, key, index);
	send_call(c, "PUT", path, value, 0, CONSUL_ANSWER_MAX, on_cas_answer);
}

static void fetch_list(void *ctx, const char *path, uint32_t wait_ms,
		       void (*done)(void *arg, const struct http_answer *a),
		       void *arg)
{
	struct platform_client *p = ctx;
	const char *headers[] = {p->token_header, NULL};
	struct http_call call = {
		.method = "GET",
		.addr = p->store,
		.path = path,
		.headers = headers,
		.timeout_ms = p->timeout_ms + wait_ms +
			      wait_ms / WAIT_JITTER_DIVISOR,
		.body_max = HEALTH_ANSWER_MAX,
		.new_connection = p->lost_answer,
	};

	p->calls++;
	http_client_send(p->client, &call, done, arg);
}

static void client_list(void *ctx, const char *service,
			void (*done)(void *arg, enum syc_platform_status st,
				     const struct syc_target *targets,
				     size_t n),
			void *arg)
{
	struct platform_client *p = ctx;

	target_lists_read(p->lists, service, done, arg);
}

struct platform_client *platform_client_new(
	const struct platform_client_options *opt)
{
	struct platform_client *p = xcalloc(1, sizeof(*p));
	struct http_client_options http = {
		.loop = opt->loop,
		.conns_per_host = PLATFORM_CONNS_MAX,
		.connect_ms = PLATFORM_CONNECT_TIMEOUT_MS,
	};
	struct target_lists_options lists = {
		.loop = opt->loop,
		.ctx = p,
		.fetch = fetch_list,
	};
	struct buf header = {0};

	p->lists = target_lists_new(&lists);
	p->client = http_client_new(&http);
	p->store = opt->store;
	p->timeout_ms = opt->timeout_ms;
	if (opt->token) {
		buf_printf(&header, "X-Consul-Token: %s", opt->token);
		p->token_header = header.data;
	}
	return p;
}

void platform_client_free(struct platform_client *p)
{
	struct platform_call *c, *next;

	if (!p)
		return;
	http_client_free(p->client);
	target_lists_free(p->lists);
	for (c = p->in_flight; c; c = next) {
		next = c->next;
		free(c);
	}
	free(p->token_header);
	free(p);
}

struct syc_platform_ops platform_client_ops(struct platform_client *p)
{
	return (struct syc_platform_ops){
		.ctx = p,
		.get = client_get,
		.cas = client_cas,
		.watch = client_watch,
		.list = client_list,
	};
}

uint64_t platform_client_calls(const struct platform_client *p)
{
	return p->calls;
}
