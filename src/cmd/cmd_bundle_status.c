/* `status`: waits until all instances run a version, and prints which do. */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"
#include "cmd/cmd_bundle.h"
#include "sycamoreshore/clock.h"
#include "transport/http_client.h"

enum {
	POLL_MS = 100, /* delay between two requests to an instance */
	CONNECT_TIMEOUT_MS = 1000,
	STATE_BYTES_MAX = 64 * 1024 * 1024
};

struct status;

struct instance {
	struct status *status;
	struct syc_addr addr;
	ev_timer timer;
	bool answered;
	bool is_current; /* runs the version or a later one */
	uint64_t version;
	int64_t current_after_ms; /* time from the command's start */
};

struct status {
	struct ev_loop *loop;
	struct http_client *client;
	uint32_t timeout_ms;
	uint64_t version;
	int64_t began_at;
	size_t n, n_current;
	struct instance instances[BUNDLE_ADMINS_MAX];
};

static bool read_version(struct syc_bytes json, uint64_t *version)
{
	json_t *doc = json_loadb(json.p, json.n, 0, NULL);
	const json_t *val = json_object_get(doc, "bundle_version");
	bool ok = json_is_integer(val) && json_integer_value(val) >= 0;

	*version = ok ? (uint64_t)json_integer_value(val) : 0;
	json_decref(doc);
	return ok;
}

static void on_state_answer(void *arg, const struct http_answer *a)
{
	struct instance *in = arg;
	struct status *st = in->status;

	in->answered = a->end == HTTP_ANSWERED && a->status == 200 &&
		       read_version(a->body, &in->version);
	if (!in->answered || in->version < st->version) {
		ev_timer_set(&in->timer, (double)POLL_MS / 1000, 0);
		ev_timer_start(st->loop, &in->timer);
		return;
	}
	in->is_current = true;
	in->current_after_ms = syc_now(&syc_clock_monotonic) - st->began_at;
	if (++st->n_current == st->n)
		ev_break(st->loop, EVBREAK_ALL);
}

static void request_state(struct ev_loop *loop, ev_timer *w, int events)
{
	struct instance *in = w->data;
	struct http_call call = {
		.method = "GET",
		.addr = in->addr,
		.path = "/state",
		.timeout_ms = in->status->timeout_ms,
		.body_max = STATE_BYTES_MAX,
	};

	http_client_send(in->status->client, &call, on_state_answer, in);
}

static void on_time_limit(struct ev_loop *loop, ev_timer *w, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

static void wait_for_all(struct status *st, int wait_s)
{
	ev_timer limit;
	size_t i;

	for (i = 0; i < st->n; i++) {
		st->instances[i].status = st;
		st->instances[i].timer.data = &st->instances[i];
		ev_init(&st->instances[i].timer, request_state);
		request_state(st->loop, &st->instances[i].timer, 0);
	}
	ev_timer_init(&limit, on_time_limit, wait_s, 0);
	ev_timer_start(st->loop, &limit);
	ev_run(st->loop, 0);
	ev_timer_stop(st->loop, &limit);
	for (i = 0; i < st->n; i++)
		ev_timer_stop(st->loop, &st->instances[i].timer);
}

static int print_all(const struct status *st)
{
	const struct instance *in;
	int code = EXIT_DONE;

	printf("%-24s %10s %10s\n", "instance", "version", "after ms");
	for (in = st->instances; in < st->instances + st->n; in++) {
		printf("%15s:%-8u ", in->addr.ip, in->addr.port);
		if (in->is_current)
			printf("%10" PRIu64 " %10" PRId64 "\n", in->version,
			       in->current_after_ms);
		else if (in->answered)
			printf("%10" PRIu64 " %10s\n", in->version, "behind");
		else
			printf("%10s %10s\n", "?", "no answer");
		if (!in->is_current && code != EXIT_UNREACHABLE)
			code = in->answered ? EXIT_FAILED : EXIT_UNREACHABLE;
	}
	printf("%zu of %zu instances run version %" PRIu64 " or a later one\n",
	       st->n_current, st->n, st->version);
	return code;
}

/*
 * Sets `*version` to the value of --version, or else to the version of the
 * bundle in force in the store.
 */
static int find_version(const struct bundle_args *args, uint64_t *version)
{
	auto_bundle_store struct bundle_store store = {0};
	auto_bundle_value struct bundle_value v = {0};
	struct settings s;
	struct syc_bundle *b;
	char err[256];

	*version = (uint64_t)args->version;
	if (args->version)
		return EXIT_DONE;
	if (!bundle_store_open(&store, args, &s))
		return EXIT_USAGE;
	if (!bundle_store_get(&store, SYC_BUNDLE_KEY, &v))
		return EXIT_UNREACHABLE;
	if (!v.text.len)
		return bundle_error(EXIT_FAILED, "the store holds no bundle");
	b = syc_bundle_parse_draft(buf_view(&v.text), err, sizeof(err));
	if (!b)
		return bundle_error(EXIT_FAILED, "store: %s", err);
	*version = b->version;
	syc_bundle_unref(b);
	return EXIT_DONE;
}

int bundle_status(const struct bundle_args *args)
{
	static struct status st;
	struct http_client_options opt = {.conns_per_host = 1,
					  .connect_ms = CONNECT_TIMEOUT_MS};
	int code = find_version(args, &st.version);
	size_t i;

	if (code != EXIT_DONE)
		return code;
	st.began_at = syc_now(&syc_clock_monotonic);
	st.timeout_ms = (uint32_t)args->timeout_ms;
	st.n = args->n_admins;
	for (i = 0; i < st.n; i++)
		st.instances[i].addr = args->admins[i];
	if (!st.n)
		return bundle_error(EXIT_USAGE, "status needs --admin");
	st.loop = ev_loop_new(0);
	opt.loop = st.loop;
	st.client = http_client_new(&opt);
	wait_for_all(&st, args->wait_s);
	http_client_free(st.client);
	ev_loop_destroy(st.loop);
	return print_all(&st);
}
