#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "cmd/target_client.h"
#include "transport/http_client.h"
#include "util/alloc.h"
#include "util/index.h"
#include "util/table.h"

enum {
	CONNS_PER_TARGET = 64,
	CONNECT_TIMEOUT_MS = 1000,
	ANSWER_BYTES_MAX = 1024 * 1024,
	HEADER_BYTES_MAX = 96
};

struct target_client {
	struct target_client_options opt;
	struct http_client *client;
	struct table sends; /* items: struct send */
	struct index by_start; /* handles in `sends` by start id */
};

struct send {
	struct target_client *client;
	uint64_t handle;
	uint64_t start_id;
	uint64_t call; /* handle of the HTTP request */
};

struct target_client *target_client_new(const struct target_client_options *opt)
{
	struct http_client_options http = {
		.loop = opt->loop,
		.conns_per_host = CONNS_PER_TARGET,
		.connect_ms = CONNECT_TIMEOUT_MS,
	};
	struct target_client *t = xcalloc(1, sizeof(*t));

	t->opt = *opt;
	t->client = http_client_new(&http);
	table_init(&t->sends, sizeof(struct send));
	return t;
}

void target_client_free(struct target_client *t)
{
	if (!t)
		return;
	http_client_free(t->client);
	table_free(&t->sends);
	index_free(&t->by_start);
	free(t);
}

static enum syc_send_end end_of_answered_send(const struct http_answer *a)
{
	if (a->status >= 200 && a->status < 300)
		return SYC_SEND_ANSWERED;
	if (a->status == 503 && a->not_run)
		return SYC_SEND_REFUSED;
	return SYC_SEND_FAILED;
}

static enum syc_send_end end_of_send(const struct http_answer *a)
{
	switch (a->end) {
	case HTTP_ANSWERED:
		return end_of_answered_send(a);
	case HTTP_NOT_SENT:
		return SYC_SEND_NOT_SENT;
	case HTTP_TIMEOUT:
		return SYC_SEND_TIMEOUT;
	case HTTP_INCOMPLETE:
	case HTTP_CANCELLED:
		break;
	}
	return SYC_SEND_BROKEN;
}

static void on_answer(void *arg, const struct http_answer *a)
{
	const struct send *s = arg;
	struct target_client *t = s->client;
	uint64_t id = s->start_id;
	struct syc_send_result res = {
		.end = end_of_send(a),
		.status = (uint16_t)a->status,
		.body = a->body,
	};

	index_del(&t->by_start, index_hash_number(id));
	table_del(&t->sends, s->handle);
	t->opt.result(t->opt.ctx, id, &res);
}

enum { HEADERS = 6 };

struct header_lines {
	char text[HEADERS - 1][HEADER_BYTES_MAX];
	const char *line[HEADERS + 1];
};

static void set_headers(struct header_lines *h, const struct syc_start *start,
			uint64_t epoch)
{
	int i;

	snprintf(h->text[0], HEADER_BYTES_MAX,
		 "Sycamoreshore-Task: %016" PRIx64, start->task);
	snprintf(h->text[1], HEADER_BYTES_MAX,
		 "Sycamoreshore-Attempt: %" PRIu32, start->attempt);
	snprintf(h->text[2], HEADER_BYTES_MAX, "Sycamoreshore-Epoch: %" PRIu64,
		 epoch);
	snprintf(h->text[3], HEADER_BYTES_MAX, "Sycamoreshore-Kind: %s",
		 start->kind);
	snprintf(h->text[4], HEADER_BYTES_MAX, "Sycamoreshore-Caller: %s",
		 start->caller);
	for (i = 0; i < HEADERS - 1; i++)
		h->line[i] = h->text[i];
	h->line[HEADERS - 1] = "Content-Type: application/json";
	h->line[HEADERS] = NULL;
}

static struct send *add_send(struct target_client *t, uint64_t start_id)
{
	struct send *s;
	uint64_t handle;
	void *item;

	handle = table_add(&t->sends, &item);
	s = item;
	s->client = t;
	s->handle = handle;
	s->start_id = start_id;
	index_put(&t->by_start, index_hash_number(start_id), handle);
	return s;
}

void target_client_start(struct target_client *t, const struct syc_start *start,
			 uint64_t epoch)
{
	struct header_lines lines;
	struct http_call call = {
		.method = "POST",
		.addr = start->target->addr,
		.path = start->service->path,
		.headers = lines.line,
		.body = start->body,
		.timeout_ms = start->time_limit_ms,
		.body_max = ANSWER_BYTES_MAX,
	};
	struct send *s = add_send(t, start->id);

	set_headers(&lines, start, epoch);
	s->call = http_client_send(t->client, &call, on_answer, s);
}

void target_client_stop(struct target_client *t, uint64_t start_id)
{
	const struct send *s;
	uint64_t handle;

	if (!index_get(&t->by_start, index_hash_number(start_id), &handle))
		return;
	s = table_get(&t->sends, handle);
	http_client_cancel(t->client, s->call);
}
