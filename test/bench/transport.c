/*
 * Measures the transport layer alone. `server` runs HTTP servers that answer
 * at once, `client` sends tasks by the target client, `peer` sends messages
 * over one peer link with both ends in this process.
 *
 *	transport server LISTENERS
 *	transport client COUNT AT_ONCE BYTES PORT...
 *	transport peer COUNT BYTES
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

#include "cmd/target_client.h"
#include "transport/http_server.h"
#include "transport/peer_link.h"
#include "util/alloc.h"

struct meter {
	double begin_s; /* CLOCK_MONOTONIC */
	double begin_cpu_s;
};

enum { TARGETS_MAX = 100 };

struct bench {
	struct ev_loop *loop;
	struct target_client *target_client;
	struct syc_target targets[TARGETS_MAX];
	long n_targets;
	struct syc_service service;
	char *body;
	size_t body_bytes;
	long count;
	long started;
	long done;
	long failed;
	struct peer_links *links[2];
	int n_up; /* calls of on_up */
};

static double monotonic_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static double cpu_time_s(void)
{
	struct rusage u;

	getrusage(RUSAGE_SELF, &u);
	return (double)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) +
	       (double)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e6;
}

static struct meter meter_start(void)
{
	struct meter m = {monotonic_s(), cpu_time_s()};

	return m;
}

static void meter_print(const struct meter *m, const char *label, long n)
{
	double took_s = monotonic_s() - m->begin_s;
	double cpu_used_s = cpu_time_s() - m->begin_cpu_s;

	printf("%s: %ld in %.2f s, %.0f a second, %.1f us of processor each\n",
	       label, n, took_s, (double)n / took_s,
	       cpu_used_s / (double)n * 1e6);
}

static struct syc_addr loopback(uint16_t port)
{
	struct syc_addr addr = {"127.0.0.1", port};

	return addr;
}

struct listener {
	struct http_server *server;
	long *done;
};

static void on_request(void *ctx, uint64_t id, const struct http_request *req)
{
	static const char text[] = "{\"done\":true}";
	struct http_reply reply = {.status = 200,
				   .content_type = "application/json",
				   .body = {text, sizeof(text) - 1}};
	struct listener *l = ctx;

	(*l->done)++;
	http_server_reply(l->server, id, &reply);
}

static void on_client_gone(void *ctx, uint64_t id)
{
}

static void on_signal(struct ev_loop *loop, ev_signal *w, int revents)
{
	ev_break(loop, EVBREAK_ALL);
}

static void open_listener(struct bench *b, struct listener *l)
{
	struct http_server_options opt = {.loop = b->loop,
					  .listen = loopback(0),
					  .body_max = 1 << 20,
					  .conns_max = 1000,
					  .idle_s = 30,
					  .ctx = l,
					  .request = on_request,
					  .client_gone = on_client_gone};

	l->done = &b->done;
	if (http_server_new(&l->server, &opt)) {
		fprintf(stderr, "%s\n", transport_last_error());
		exit(1);
	}
	printf(" %u", http_server_port(l->server));
}

static int run_server(struct bench *b, long n)
{
	static struct listener listeners[TARGETS_MAX];
	struct meter m;
	ev_signal sig;
	long i;

	for (i = 0; i < n; i++)
		open_listener(b, &listeners[i]);
	putchar('\n');
	fflush(stdout);
	ev_signal_init(&sig, on_signal, SIGTERM);
	ev_signal_start(b->loop, &sig);
	m = meter_start();
	ev_run(b->loop, 0);
	meter_print(&m, "server", b->done);
	for (i = 0; i < n; i++)
		http_server_free(listeners[i].server);
	return 0;
}

static void start_task(struct bench *b)
{
	struct syc_start start = {
		.id = (uint64_t)++b->started,
		.target = &b->targets[b->started % b->n_targets],
		.service = &b->service,
		.kind = "proof",
		.caller = "mug-shop",
		.task = (uint64_t)b->started,
		.attempt = 1,
		.time_limit_ms = 5000,
		.body = {b->body, b->body_bytes}};

	target_client_start(b->target_client, &start, 1);
}

static void on_result(void *ctx, uint64_t id, const struct syc_send_result *res)
{
	struct bench *b = ctx;

	b->done++;
	b->failed += res->end != SYC_SEND_ANSWERED;
	if (b->started < b->count)
		start_task(b);
	else if (b->done == b->count)
		ev_break(b->loop, EVBREAK_ALL);
}

static int run_client(struct bench *b, long at_once)
{
	struct target_client_options opt = {b->loop, b, on_result};
	struct meter m;
	long i;

	copy_text(b->service.path, sizeof(b->service.path), "/task");
	b->target_client = target_client_new(&opt);
	m = meter_start();
	for (i = 0; i < at_once && i < b->count; i++)
		start_task(b);
	ev_run(b->loop, 0);
	meter_print(&m, "client", b->done);
	target_client_free(b->target_client);
	printf("failed: %ld\n", b->failed);
	return b->failed != 0;
}

static void on_up(void *ctx, const struct syc_instance *peer)
{
	struct bench *b = ctx;

	b->n_up++;
}

static void on_down(void *ctx, uint64_t peer)
{
}

static void on_receive(void *ctx, uint64_t from, struct syc_bytes msg)
{
	struct bench *b = ctx;

	if (++b->done == b->count)
		ev_break(b->loop, EVBREAK_ALL);
}

static void on_rejected(void *ctx, const char *addr, const char *why)
{
	fprintf(stderr, "%s: %s\n", addr, why);
}

static struct peer_links *open_links(struct bench *b, uint64_t id)
{
	static const uint8_t key[PEER_KEY_LEN] = {1};
	struct peer_links_options opt = {.loop = b->loop,
					 .self = {.id = id, .name = "n"},
					 .listen = loopback(0),
					 .cluster_key = key,
					 .send_max = 1 << 20,
					 .ctx = b,
					 .up = on_up,
					 .down = on_down,
					 .receive = on_receive,
					 .rejected = on_rejected};
	struct peer_links *p = NULL;

	opt.self.peer_addr = loopback(0);
	if (peer_links_new(&p, &opt)) {
		fprintf(stderr, "%s\n", transport_last_error());
		exit(1);
	}
	return p;
}

/* Fills the send queue in each turn of the loop, as a busy instance does. */
static void on_fill(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct bench *b = w->data;
	struct syc_bytes msg = {b->body, b->body_bytes};

	/* Each side dials the other: two connections, each with two ends. */
	if (b->n_up < 4)
		return;
	while (b->started < b->count && peer_links_send(b->links[0], 2, msg))
		b->started++;
}

static int run_peer(struct bench *b)
{
	ev_prepare fill;
	struct syc_addr addr;
	struct meter m;

	b->links[0] = open_links(b, 1);
	b->links[1] = open_links(b, 2);
	addr = loopback(peer_links_port(b->links[1]));
	peer_links_dial(b->links[0], &addr);
	ev_prepare_init(&fill, on_fill);
	fill.data = b;
	ev_prepare_start(b->loop, &fill);
	m = meter_start();
	ev_run(b->loop, 0);
	meter_print(&m, "peer", b->done);
	peer_links_free(b->links[0]);
	peer_links_free(b->links[1]);
	return 0;
}

static long parse_number(const char *text)
{
	char *end;
	long n = strtol(text, &end, 10);

	if (*end || n < 1) {
		fprintf(stderr, "'%s' is not a number of 1 or more\n", text);
		exit(2);
	}
	return n;
}

int main(int argc, char **argv)
{
	struct bench b = {.loop = ev_default_loop(0)};
	int rc = 2;

	if (argc == 3 && !strcmp(argv[1], "server"))
		return run_server(&b,
				  parse_number(argv[2]) % (TARGETS_MAX + 1));
	if (argc >= 6 && !strcmp(argv[1], "client")) {
		b.count = parse_number(argv[2]);
		b.body_bytes = (size_t)parse_number(argv[4]);
		b.body = xcalloc(1, b.body_bytes);
		for (; b.n_targets < argc - 5 && b.n_targets < TARGETS_MAX;
		     b.n_targets++)
			b.targets[b.n_targets].addr = loopback(
				(uint16_t)parse_number(argv[5 + b.n_targets]));
		rc = run_client(&b, parse_number(argv[3]));
	} else if (argc == 4 && !strcmp(argv[1], "peer")) {
		b.count = parse_number(argv[2]);
		b.body_bytes = (size_t)parse_number(argv[3]);
		b.body = xcalloc(1, b.body_bytes);
		rc = run_peer(&b);
	} else {
		fputs("usage: transport server LISTENERS | client COUNT "
		      "AT_ONCE BYTES PORT... | peer COUNT BYTES\n",
		      stderr);
	}
	free(b.body);
	return rc;
}
