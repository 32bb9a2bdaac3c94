#include <stdlib.h>
#include <string.h>

#include "cmd/admin_server.h"
#include "transport/http_server.h"
#include "util/alloc.h"
#include "util/buf.h"
#include "util/cleanup.h"

enum {
	ADMIN_BODY_MAX = 1024, /* bytes; the requests have no body */
	ADMIN_CONNS_MAX = 64,
	ADMIN_IDLE_S = 30
};

struct admin_server {
	struct admin_server_options opt;
	struct http_server *server;
};

static void reply(struct admin_server *a, uint64_t id, unsigned status,
		  const char *type, const char *text)
{
	struct http_reply reply = {
		.status = status,
		.content_type = type,
		.body = {text, strlen(text)},
	};

	http_server_reply(a->server, id, &reply);
}

static void reply_text(struct admin_server *a, uint64_t id, unsigned status,
		       const char *text)
{
	reply(a, id, status, "text/plain", text);
}

static void show_health(struct admin_server *a, uint64_t id)
{
	reply_text(a, id, 200, "ok\n");
}

static void show_ready(struct admin_server *a, uint64_t id)
{
	struct buf auto_buf body = {0};
	const char *why = "starting";

	if (a->opt.is_ready(a->opt.ctx, &why)) {
		reply_text(a, id, 200, "ready\n");
		return;
	}
	buf_printf(&body, "not ready: %s\n", why);
	reply_text(a, id, 503, body.data);
}

static void show_metrics(struct admin_server *a, uint64_t id)
{
	struct buf auto_buf body = {0};

	a->opt.refresh(a->opt.ctx);
	metrics_render(a->opt.metrics, &body);
	if (a->opt.histograms)
		a->opt.histograms(a->opt.ctx, &body);
	reply(a, id, 200, "text/plain; version=0.0.4",
	      body.data ? body.data : "");
}

static void show_state(struct admin_server *a, uint64_t id)
{
	auto_free char *text = a->opt.state(a->opt.ctx);

	reply(a, id, 200, "application/json", text);
}

static void show_ledger(struct admin_server *a, uint64_t id)
{
	auto_free char *text = a->opt.ledger(a->opt.ctx);

	reply(a, id, 200, "application/json", text);
}

static const struct page {
	const char *path;
	void (*show)(struct admin_server *a, uint64_t id);
} pages[] = {
	{"/healthz", show_health},  {"/readyz", show_ready},
	{"/metrics", show_metrics}, {"/state", show_state},
	{"/ledger", show_ledger},
};

static void on_request(void *ctx, uint64_t id, const struct http_request *req)
{
	struct admin_server *a = ctx;
	size_t i;

	for (i = 0; i < sizeof(pages) / sizeof(*pages); i++) {
		if (strcmp(req->path, pages[i].path))
			continue;
		if (strcmp(req->method, "GET") && strcmp(req->method, "HEAD"))
			reply_text(a, id, 405, "only GET is known here\n");
		else
			pages[i].show(a, id);
		return;
	}
	reply_text(a, id, 404, "no such page\n");
}

/* Each request is answered at once, so there is nothing to release. */
static void on_client_gone(void *ctx, uint64_t id)
{
}

enum transport_status admin_server_new(struct admin_server **a,
				       const struct admin_server_options *opt)
{
	struct http_server_options server = {
		.loop = opt->loop,
		.listen = opt->listen,
		.body_max = ADMIN_BODY_MAX,
		.conns_max = ADMIN_CONNS_MAX,
		.idle_s = ADMIN_IDLE_S,
		.request = on_request,
		.client_gone = on_client_gone,
	};
	enum transport_status st;

	*a = xcalloc(1, sizeof(**a));
	(*a)->opt = *opt;
	server.ctx = *a;
	st = http_server_new(&(*a)->server, &server);
	if (st) {
		free(*a);
		*a = NULL;
	}
	return st;
}

void admin_server_free(struct admin_server *a)
{
	if (!a)
		return;
	http_server_free(a->server);
	free(a);
}

uint16_t admin_server_port(const struct admin_server *a)
{
	return http_server_port(a->server);
}
