/* `standin fleet`: serves the stand-in of the users' platform on loopback. */
#include <popt.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "platform/names.h"
#include "standin.h"
#include "util/buf.h"

enum {
	BODY_MAX = 1024 * 1024, /* bytes */
	CONNS_MAX = 1024,
	IDLE_S = 60,
	TICK_MS = 5,
	FIRST_VERSION = 3, /* of the configuration */
	DOMAINS = 2, /* of the workers: d0, d1 */
	RESTART_S = 2 /* from a worker's crash to its next life */
};

static int opt_workers = 6;
static int opt_run_ms = 60;
static int opt_domains = DOMAINS;
static char *opt_ports;
static int opt_same_ids;

static struct poptOption options[] = {
	{"workers", 'n', POPT_ARG_INT, &opt_workers, 0, "worker count", "N"},
	{"run-ms", 'r', POPT_ARG_INT, &opt_run_ms, 0,
	 "run time of a task, unless its job's taskSpec is \"run MS\"", "MS"},
	{"domains", 'd', POPT_ARG_INT, &opt_domains, 0,
	 "failure domains that the workers alternate between", "N"},
	{"ports", 'p', POPT_ARG_STRING, &opt_ports, 0,
	 "ports that the workers register, as proxies serve them", "N,..."},
	{"same-ids", 's', POPT_ARG_NONE, &opt_same_ids, 0,
	 "workers start again under the ids that they had", NULL},
	POPT_AUTOHELP POPT_TABLEEND};

void fleet_reply(struct http_server *s, uint64_t id, unsigned status,
		 json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	struct http_reply reply = {
		.status = status,
		.content_type = "application/json",
		.body = {text, strlen(text)},
	};

	http_server_reply(s, id, &reply);
	free(text);
	json_decref(body);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct fleet_platform *p = w->data;
	size_t i;

	fleet_store_tick(p);
	for (i = 0; i < p->n_workers; i++)
		fleet_worker_tick(&p->workers[i]);
}

static struct http_server *listen_on(
	struct fleet_platform *p, void *ctx, uint16_t port,
	void (*request)(void *, uint64_t, const struct http_request *),
	void (*client_gone)(void *, uint64_t))
{
	struct http_server_options opt = {
		.loop = p->loop,
		.listen = {"127.0.0.1", port},
		.body_max = BODY_MAX,
		.conns_max = CONNS_MAX,
		.idle_s = IDLE_S,
		.ctx = ctx,
		.request = request,
		.client_gone = client_gone,
	};
	struct http_server *s;

	if (http_server_new(&s, &opt)) {
		fprintf(stderr, "standin fleet: %s\n", transport_last_error());
		exit(1);
	}
	return s;
}

/* The next of opt_ports, or `port` if there is none. */
static unsigned take_registered_port(unsigned port)
{
	char *end;
	unsigned long next;

	if (!opt_ports || !*opt_ports)
		return port;
	next = strtoul(opt_ports, &end, 10);
	opt_ports = *end ? end + 1 : end;
	return (unsigned)next;
}

static void get_worker_key(const struct fleet_worker *w, char *key, size_t size)
{
	snprintf(key, size, STORE_WORKERS_PREFIX "%s", w->name);
}

static void register_worker(struct fleet_worker *w)
{
	char key[64], *text;
	json_t *entry;

	get_worker_key(w, key, sizeof(key));
	entry = json_pack(
		"{s:s, s:o, s:o, s:s, s:{s:i, s:i, s:i}, s:[s], s:I}",
		WORKER_SERVICE, "s", WORKER_ADDRESS,
		json_sprintf("127.0.0.1:%u", w->registered_port), WORKER_DOMAIN,
		json_sprintf("d%zu", w->number % w->platform->n_domains),
		WORKER_STATE, "ready", WORKER_CAPACITY, SIZE_CPU, 16000,
		SIZE_MEMORY, 65536, SIZE_ACCELERATORS, 0, WORKER_LABELS, "a",
		WORKER_BORN, (json_int_t)w->born_ms);
	text = json_dumps(entry, 0);
	fleet_store_put(w->platform, key, text);
	free(text);
	json_decref(entry);
}

static int64_t wall_clock_ms(const struct fleet_worker *w)
{
	return (int64_t)(ev_now(w->platform->loop) * 1000);
}

static void add_worker(struct fleet_platform *p, size_t i)
{
	struct fleet_worker *w = &p->workers[i];

	w->platform = p;
	w->number = i;
	w->server = listen_on(p, w, 0, fleet_worker_request,
			      fleet_worker_client_gone);
	w->port = http_server_port(w->server);
	w->registered_port = take_registered_port(w->port);
	snprintf(w->name, sizeof(w->name), "w%zu", i);
	w->born_ms = wall_clock_ms(w);
	printf("worker %s %u\n", w->name, w->port);
	register_worker(w);
}

void fleet_worker_crash(struct fleet_worker *w)
{
	size_t i;

	for (i = 0; i < w->n_runs; i++)
		fleet_count_crash(w->platform, w->runs[i].task);
	http_server_free(w->server);
	w->server = NULL;
	w->n_runs = w->n_ends = 0;
	w->last_end_number = w->fence = 0;
	w->lease_ends_at = 0;
	memset(w->holds, 0, sizeof(w->holds));
	w->restarts_at = ev_now(w->platform->loop) + RESTART_S;
}

void fleet_worker_restart(struct fleet_worker *w)
{
	char key[64];

	w->n_crashes++;
	w->born_ms = wall_clock_ms(w);
	if (!w->platform->same_ids) {
		get_worker_key(w, key, sizeof(key));
		fleet_store_remove(w->platform, key);
		snprintf(w->name, sizeof(w->name), "w%zu-%u", w->number,
			 w->n_crashes);
	}
	w->restarts_at = 0;
	w->server = listen_on(w->platform, w, (uint16_t)w->port,
			      fleet_worker_request, fleet_worker_client_gone);
	register_worker(w);
}

/* Besides /quick/, version N has a route /vN/ that no other version has. */
void fleet_put_config(struct fleet_platform *p, long version)
{
	static const char route[] =
		"{\"name\":\"%s%ld\",\"host\":\"127.0.0.1\","
		"\"prefix\":\"/%s/\",\"service\":\"s\",\"maxAttempts\":3,"
		"\"slackFactor\":1.6,\"targetLatencyMs\":3000,"
		"\"timeoutMs\":5000}";
	auto_buf struct buf text = {0};
	char prefix[32];

	snprintf(prefix, sizeof(prefix), "v%ld", version);
	buf_printf(&text, "{\"version\":%ld,\"routes\":[", version);
	buf_printf(&text, route, "quick", 0L, "quick");
	buf_puts(&text, ",");
	buf_printf(&text, route, "v", version, prefix);
	buf_puts(&text, "]}");
	fleet_store_put(p, STORE_CONFIG_KEY, text.data);
}

int standin_fleet(int argc, const char **argv)
{
	poptContext ctx = poptGetContext("standin fleet", argc, argv, options,
					 0);
	static struct fleet_platform p;
	size_t i;

	if (poptGetNextOpt(ctx) != -1 || sodium_init() < 0 ||
	    opt_workers > FLEET_WORKERS_MAX || opt_domains < 1)
		return 2;
	poptFreeContext(ctx);
	p.loop = ev_default_loop(0);
	p.run_ms = opt_run_ms;
	p.n_domains = (size_t)opt_domains;
	p.same_ids = opt_same_ids;
	p.store = listen_on(&p, &p, 0, fleet_store_request,
			    fleet_store_client_gone);
	for (i = 0; i < (size_t)opt_workers; i++)
		add_worker(&p, i);
	p.n_workers = (size_t)opt_workers;
	fleet_put_config(&p, FIRST_VERSION);
	ev_timer_init(&p.tick, on_tick, 0, TICK_MS / 1000.0);
	p.tick.data = &p;
	ev_timer_start(p.loop, &p.tick);
	printf("listening 127.0.0.1:%u\n", http_server_port(p.store));
	fflush(stdout);
	ev_run(p.loop, 0);
	return 0;
}
