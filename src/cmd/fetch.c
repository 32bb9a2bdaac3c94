#include <stdio.h>
#include <string.h>

#include "cmd/fetch.h"
#include "util/alloc.h"

static void on_answer(void *arg, const struct http_answer *a)
{
	struct fetch *f = arg;

	f->end = a->end;
	f->status = a->status;
	buf_add(&f->body, a->body.p, a->body.n);
	copy_text(f->message, sizeof(f->message), a->message);
}

void fetch(struct fetch *f, const struct http_call *call)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct http_client_options opt = {
		.loop = loop,
		.conns_per_host = 1,
		.connect_ms = FETCH_TIMEOUT_MS,
	};
	struct http_client *client = http_client_new(&opt);

	memset(f, 0, sizeof(*f));
	http_client_send(client, call, on_answer, f);
	while (!f->end)
		ev_run(loop, EVRUN_ONCE);
	http_client_free(client);
	ev_loop_destroy(loop);
}

void fetch_get(struct fetch *f, const struct syc_addr *addr, const char *path)
{
	struct http_call call = {
		.method = "GET",
		.addr = *addr,
		.path = path,
		.timeout_ms = FETCH_TIMEOUT_MS,
		.body_max = FETCH_BODY_MAX,
	};

	fetch(f, &call);
}

bool fetch_page(struct fetch *f, const struct syc_addr *addr, const char *path)
{
	fetch_get(f, addr, path);
	if (f->end == HTTP_ANSWERED && f->status == 200)
		return true;
	if (f->end == HTTP_ANSWERED)
		fprintf(stderr, "%s:%u%s: status %u: %s\n", addr->ip,
			addr->port, path, f->status,
			f->body.data ? f->body.data : "");
	else
		fprintf(stderr, "%s:%u%s: %s\n", addr->ip, addr->port, path,
			f->message);
	return false;
}

void fetch_free(struct fetch *f)
{
	buf_free(&f->body);
}
