#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "stage.h"

enum {
	CONNS_MAX = 2048,
	WORKERS_MAX = 128,
	RUNS_MAX = 20000,
	KEYS_MAX = 256,
	HEARTBEAT_MS = 1500,
	LEASE_MAX_MS = 1000, /* holdMaxMs */
	STOP_MS = 20, /* a stop takes at most stopTimeoutMs, 50 */
	STOPPED_MAX = 256,
	PAGE_ITEMS = 500,
	PAGE_BYTES = 1000000,
	ENDS_LISTED_MAX = 500,
	WORKER_CPU = 16000,
	WORKER_MEM = 65536,
	START_S = 20,
	CANCEL_RETRY_MS = 200,
	CANCELS_END_MS = 80000,
	LIMIT_S = 115
};

struct end {
	int64_t number;
	int run; /* its place in `runs` */
};

struct worker {
	char id[32], zone[16], kind[96];
	int port, listener;
	bool draining;
	int64_t born, fence, lease_until, last_end, cursor;
	int64_t beat_at, sequence;
	struct end *ends;
	int n_ends;
	char stopped[STOPPED_MAX]
		    [72]; /* "task run" stopped before they began */
	int n_stopped;
};

struct item {
	char key[208];
	char *value; /* base64; NULL: removed */
	int64_t revision, created;
};

enum conn_kind { LISTEN_STORE, LISTEN_WORKER, SERVE, CLIENT };

struct conn {
	int fd;
	enum conn_kind kind;
	int worker; /* -1: the store */
	char *in, *out;
	size_t in_len, out_len, out_sent;
	/* A call that waits: a hold or a watch. */
	int64_t waits_until;
	int64_t watch_after;
	char watch_prefix[208];
	struct request *request;
};

const char stage_route[] =
	"{\"name\":\"jobs\",\"host\":\"shop.example\",\"prefix\":\"/jobs/\","
	"\"kind\":\"unsafe\",\"timeoutMs\":60000,\"targetLatencyMs\":60,"
	"\"priority\":1,\"service\":\"svc\",\"maxAttempts\":4,"
	"\"slackFactor\":1.6}";

struct instance instances[STAGE_INSTANCES_MAX];
struct run *runs;
int n_runs;

static struct stage_options options;
static struct conn conns[CONNS_MAX];
static struct worker workers[WORKERS_MAX];
static struct item items[KEYS_MAX];
static int n_items, n_workers, store_port;
static int64_t revision = 100, config_version, began_ms;
static FILE *record;
static char dir[64];

static int64_t mono_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t stage_now(void)
{
	return mono_ms() - began_ms;
}

void stage_record(const char *format, ...)
{
	va_list ap;

	fprintf(record, "%7.3f ", (double)stage_now() / 1000);
	va_start(ap, format);
	vfprintf(record, format, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

bool stage_has_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0");
}

static void kill_all(void)
{
	int i;

	for (i = 0; i < STAGE_INSTANCES_MAX; i++)
		if (instances[i].pid > 0)
			kill(instances[i].pid, SIGKILL);
	for (i = 0; i < STAGE_INSTANCES_MAX; i++)
		if (instances[i].pid > 0)
			waitpid(instances[i].pid, NULL, 0);
}

void stage_end(int code, const char *why)
{
	kill_all();
	stage_record("result %d: %s", code, why);
	printf("%s: %s\n",
	       code == STAGE_HELD     ? "held"
	       : code == STAGE_BROKEN ? "BROKEN"
				      : "not run",
	       why);
	fclose(record);
	if (*dir && !getenv("KEEP")) {
		char command[128];

		snprintf(command, sizeof(command), "rm -rf %s", dir);
		if (system(command))
			code = code ? code : STAGE_NOT_RUN;
	} else {
		printf("files in %s\n", dir);
	}
	exit(code);
}

static void on_signal(int signum)
{
	int i;

	(void)signum;
	for (i = 0; i < STAGE_INSTANCES_MAX; i++)
		if (instances[i].pid > 0)
			kill(instances[i].pid, SIGKILL);
	_exit(STAGE_NOT_RUN);
}

/* Base64 with padding. */
static char *encode(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t n = strlen(text), i;
	char *out = calloc(1, (n + 2) / 3 * 4 + 1), *p = out;

	for (i = 0; i < n; i += 3) {
		unsigned v = (unsigned char)text[i] << 16;

		if (i + 1 < n)
			v |= (unsigned char)text[i + 1] << 8;
		if (i + 2 < n)
			v |= (unsigned char)text[i + 2];
		*p++ = digits[v >> 18];
		*p++ = digits[v >> 12 & 63];
		*p++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
		*p++ = i + 2 < n ? digits[v & 63] : '=';
	}
	return out;
}

static struct item *find_item(const char *key)
{
	int i;

	for (i = 0; i < n_items; i++)
		if (!strcmp(items[i].key, key))
			return &items[i];
	return NULL;
}

static void put_item(const char *key, char *value)
{
	struct item *it = find_item(key);

	if (!it && n_items == KEYS_MAX)
		stage_end(STAGE_NOT_RUN, "too many keys");
	if (!it) {
		it = &items[n_items++];
		snprintf(it->key, sizeof(it->key), "%s", key);
	}
	revision++;
	if (!it->value)
		it->created = revision;
	free(it->value);
	it->value = value;
	it->revision = revision;
}

static json_t *item_json(const struct item *it)
{
	if (!it->value)
		return json_pack("{s:s, s:I, s:b}", "key", it->key, "revision",
				 (json_int_t)it->revision, "deleted", 1);
	return json_pack("{s:s, s:s, s:I, s:I, s:i}", "key", it->key, "value",
			 it->value, "revision", (json_int_t)it->revision,
			 "created", (json_int_t)it->created, "lease", 0);
}

void stage_put_config(const char *routes)
{
	char *text = NULL;

	config_version += 3;
	if (asprintf(
		    &text,
		    "{\"version\":%lld,\"routes\":[%s],\"services\":[{\"name\":"
		    "\"svc\",\"rejectsOverload\":true}],\"limits\":{}}",
		    (long long)config_version, routes) < 0)
		abort();
	put_item("op/config", encode(text));
	stage_record("operator: version %lld is confirmed",
		     (long long)config_version);
	free(text);
}

static int listen_on_loopback(int *port)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(fd, 512) || getsockname(fd, (struct sockaddr *)&sa, &len))
		stage_end(STAGE_NOT_RUN, "no port");
	*port = ntohs(sa.sin_port);
	return fd;
}

static struct conn *add_conn(int fd, enum conn_kind kind, int worker)
{
	int i;

	for (i = 0; i < CONNS_MAX; i++) {
		if (conns[i].fd >= 0)
			continue;
		conns[i] = (struct conn){.fd = fd, .kind = kind};
		conns[i].worker = worker;
		return &conns[i];
	}
	stage_end(STAGE_NOT_RUN, "too many connections");
}

static void close_conn(struct conn *c)
{
	close(c->fd);
	free(c->in);
	free(c->out);
	if (c->request && !c->request->status) {
		c->request->status = -1;
		c->request->done_at = stage_now();
		stage_record("%s: the channel ends without an answer",
			     c->request->label);
	}
	*c = (struct conn){.fd = -1};
}

static void reply(struct conn *c, int status, json_t *body)
{
	char head[160], *text = json_dumps(body, JSON_COMPACT);
	size_t n = strlen(text), k;

	k = (size_t)snprintf(head, sizeof(head),
			     "HTTP/1.1 %d X\r\nContent-Type: application/json"
			     "\r\nContent-Length: %zu\r\n\r\n",
			     status, n);
	c->out = realloc(c->out, c->out_len + k + n);
	memcpy(c->out + c->out_len, head, k);
	memcpy(c->out + c->out_len + k, text, n);
	c->out_len += k + n;
	c->waits_until = 0;
	free(text);
	json_decref(body);
}

/* The text of a query's field, with %XX decoded. */
static bool query(const char *path, const char *name, char *out, size_t size)
{
	const char *p = strchr(path, '?');
	size_t n = strlen(name), k = 0;

	for (; p; p = strchr(p + 1, '&'))
		if (!strncmp(p + 1, name, n) && p[n + 1] == '=')
			break;
	if (!p)
		return false;
	for (p += n + 2; *p && *p != '&' && k + 1 < size; p++) {
		unsigned v;

		if (*p == '%' && sscanf(p + 1, "%2x", &v) == 1) {
			out[k++] = (char)v;
			p += 2;
		} else {
			out[k++] = *p;
		}
	}
	out[k] = 0;
	return true;
}

static int compare_keys(const void *a, const void *b)
{
	const struct item *const *x = a, *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

/* One page, in the order of the keys; returns whether there is more. */
static bool list_items(const char *prefix, const char *after, json_t *list)
{
	struct item *found[KEYS_MAX];
	size_t bytes = 0;
	int i, n = 0;

	for (i = 0; i < n_items; i++)
		if (items[i].value &&
		    !strncmp(items[i].key, prefix, strlen(prefix)) &&
		    strcmp(items[i].key, after) > 0)
			found[n++] = &items[i];
	qsort(found, (size_t)n, sizeof(*found), compare_keys);
	for (i = 0; i < n && i < PAGE_ITEMS && bytes < PAGE_BYTES; i++) {
		bytes += strlen(found[i]->value) / 4 * 3;
		json_array_append_new(list, item_json(found[i]));
	}
	return i < n;
}

static json_t *list_events(const struct conn *c)
{
	json_t *list = json_array();
	int i;

	for (i = 0; i < n_items; i++)
		if (items[i].revision > c->watch_after &&
		    !strncmp(items[i].key, c->watch_prefix,
			     strlen(c->watch_prefix)))
			json_array_append_new(list, item_json(&items[i]));
	return list;
}

static void answer_watch(struct conn *c)
{
	json_t *events = list_events(c);

	if (!json_array_size(events) && stage_now() < c->waits_until) {
		json_decref(events);
		return;
	}
	reply(c, 200,
	      json_pack("{s:o, s:I}", "events", events, "storeRevision",
			(json_int_t)revision));
}

static void write_keys(struct conn *c, const json_t *body)
{
	const json_t *row, *list = json_object_get(body, "expectedRevision");
	json_t *now = json_array();
	bool ok = true;
	size_t i;

	json_array_foreach(list, i, row)
	{
		const char *key = json_string_value(
			json_object_get(row, "key"));
		const struct item *it = key ? find_item(key) : NULL;
		int64_t at = it && it->value ? it->revision : 0;

		ok &= at ==
		      json_integer_value(json_object_get(row, "revision"));
		if (it && it->value)
			json_array_append_new(now, item_json(it));
	}
	if (!ok) {
		reply(c, 412, json_pack("{s:o}", "items", now));
		return;
	}
	json_decref(now);
	list = json_object_get(body, "puts");
	json_array_foreach(list, i, row) put_item(
		json_string_value(json_object_get(row, "key")),
		strdup(json_string_value(json_object_get(row, "value"))));
	reply(c, 200, json_pack("{s:I}", "revision", (json_int_t)revision));
}

static void serve_store(struct conn *c, const char *method, const char *path,
			const json_t *body)
{
	char key[208] = "", after[208] = "", wait[32] = "0";
	const struct item *it;
	json_t *obj;
	bool more;

	query(path, "after", after, sizeof(after));
	if (!strncmp(path, "/kv-key?", 8) && query(path, "key", key, 208)) {
		it = find_item(key);
		if (!it || !it->value) {
			reply(c, 404,
			      json_pack("{s:I}", "storeRevision",
					(json_int_t)revision));
			return;
		}
		obj = item_json(it);
		json_object_set_new(obj, "storeRevision",
				    json_integer(revision));
		reply(c, 200, obj);
	} else if (!strncmp(path, "/kv-range", 9)) {
		query(path, "prefix", key, sizeof(key));
		obj = json_array();
		more = list_items(key, after, obj);
		reply(c, 200,
		      json_pack("{s:o, s:b, s:I}", "items", obj, "hasMore",
				more, "storeRevision", (json_int_t)revision));
	} else if (!strncmp(path, "/kv-watch", 9)) {
		query(path, "prefix", c->watch_prefix, 208);
		query(path, "waitMs", wait, sizeof(wait));
		c->watch_after = strtoll(after, NULL, 10);
		c->waits_until = stage_now() + strtoll(wait, NULL, 10) + 1;
		answer_watch(c);
	} else if (!strcmp(path, "/kv-txn") && !strcmp(method, "POST")) {
		write_keys(c, body);
	} else {
		reply(c, 404, json_object());
	}
}

static int64_t worker_clock(const struct worker *w)
{
	return mono_ms() - w->born;
}

static void register_worker(int i)
{
	struct worker *w = &workers[i];
	char key[64], text[640];

	snprintf(key, sizeof(key), "servers/%s", w->id);
	snprintf(
		text, sizeof(text),
		"{\"service\":\"svc\",\"address\":\"127.0.0.1:%d\",\"zone\":"
		"\"%s\",\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
		"\"coldRemainingMs\":0,%s\"capacity\":{\"cpu\":%d,\"memMb\":%d,"
		"\"gpu\":0},\"labels\":[\"%s\",\"r%d\"],\"clockMs\":%lld,"
		"\"sequence\":%lld}",
		w->port, w->zone, w->draining ? "draining" : "ready",
		w->draining ? "\"remainingMs\":2000," : "", WORKER_CPU,
		WORKER_MEM, w->kind, i / 6, (long long)worker_clock(w),
		(long long)++w->sequence);
	put_item(key, encode(text));
	w->beat_at = stage_now() + HEARTBEAT_MS;
}

static void end_run(int r, const char *how)
{
	struct worker *w = &workers[runs[r].worker];

	runs[r].ended_at = stage_now();
	runs[r].how = how;
	w->ends = realloc(w->ends, (size_t)(w->n_ends + 1) * sizeof(*w->ends));
	w->ends[w->n_ends++] = (struct end){++w->last_end, r};
	stage_record("worker %s: %s run %lld ends %s", w->id, runs[r].task,
		     (long long)runs[r].number, how);
}

static json_t *hold_lists(const struct worker *w, int number)
{
	json_t *running = json_array(), *ended = json_array();
	int i;

	for (i = 0; i < n_runs; i++) {
		const struct run *r = &runs[i];
		int64_t all = r->ends_at - r->began_at;

		if (r->worker != number || r->ended_at)
			continue;
		json_array_append_new(
			running,
			json_pack("[s, I, s, I, i]", r->task,
				  (json_int_t)r->number, "",
				  (json_int_t)((stage_now() - r->began_at) *
					       100 / (all + 1)),
				  0));
	}
	for (i = 0; i < w->n_ends && i < ENDS_LISTED_MAX; i++) {
		const struct run *r = &runs[w->ends[i].run];

		json_array_append_new(
			ended, json_pack("[I, s, I, s, s]",
					 (json_int_t)w->ends[i].number, r->task,
					 (json_int_t)r->number, r->how, ""));
	}
	return json_pack("{s:I, s:o, s:o}", "clockMs",
			 (json_int_t)worker_clock(w), "running", running,
			 "finished", ended);
}

static void extend_lease(struct worker *w, const json_t *body)
{
	int64_t until = json_integer_value(
		json_object_get(body, "deadlineAtMs"));

	if (until > worker_clock(w) + LEASE_MAX_MS)
		until = worker_clock(w) + LEASE_MAX_MS;
	if (until > w->lease_until)
		w->lease_until = until;
}

static void answer_call(struct conn *c, int status, const char *reason)
{
	json_t *obj = json_pack("{s:I}", "clockMs",
				(json_int_t)worker_clock(&workers[c->worker]));

	if (reason)
		json_object_set_new(obj, "reason", json_string(reason));
	reply(c, status, obj);
}

static const char *start_refusal(const struct worker *w, int number,
				 const json_t *body, const char *task,
				 int64_t run, int cpu)
{
	char name[72];
	int i, used = 0;

	snprintf(name, sizeof(name), "%s %lld", task, (long long)run);
	for (i = 0; i < w->n_stopped && i < STOPPED_MAX; i++)
		if (!strcmp(w->stopped[i], name))
			return "old";
	for (i = 0; i < n_runs; i++) {
		if (runs[i].worker != number)
			continue;
		if (!strcmp(runs[i].task, task) && runs[i].ended_at &&
		    runs[i].number >= run)
			return "old";
		if (!runs[i].ended_at)
			used += atoi(runs[i].spec);
	}
	if (json_integer_value(json_object_get(body, "deadlineAtMs")) <=
	    worker_clock(w))
		return "late";
	return used + cpu > WORKER_CPU ? "room" : NULL;
}

/* The specification of a task is "CPU WORK_MS". */
static void start_run(struct conn *c, struct worker *w, const json_t *body,
		      const char *task, int64_t number)
{
	const char *spec = json_string_value(json_object_get(body, "taskSpec"));
	const char *refusal;
	int cpu = 0, work_ms = 0, i;
	struct run *r;

	if (!spec || sscanf(spec, "%d %d", &cpu, &work_ms) != 2) {
		answer_call(c, 400, NULL);
		return;
	}
	for (i = 0; i < n_runs; i++)
		if (runs[i].worker == c->worker && !runs[i].ended_at &&
		    runs[i].number == number && !strcmp(runs[i].task, task)) {
			extend_lease(w, body);
			answer_call(c, 200, NULL);
			return;
		}
	refusal = start_refusal(w, c->worker, body, task, number, cpu);
	if (refusal) {
		if (strcmp(refusal, "late"))
			extend_lease(w, body);
		answer_call(c, 409, refusal);
		return;
	}
	extend_lease(w, body);
	if (n_runs == RUNS_MAX)
		stage_end(STAGE_NOT_RUN, "too many runs");
	r = &runs[n_runs++];
	*r = (struct run){.number = number, .worker = c->worker};
	snprintf(r->task, sizeof(r->task), "%s", task);
	snprintf(r->spec, sizeof(r->spec), "%s", spec);
	r->began_at = stage_now();
	r->ends_at = r->began_at + work_ms;
	stage_record("worker %s: %s run %lld begins (fence %lld)", w->id, task,
		     (long long)number, (long long)w->fence);
	answer_call(c, 200, NULL);
}

static void stop_run(struct conn *c, struct worker *w, const char *task,
		     int64_t number)
{
	bool found = false;
	int i;

	for (i = 0; i < n_runs; i++) {
		if (runs[i].worker != c->worker || runs[i].ended_at ||
		    strcmp(runs[i].task, task) || runs[i].number > number)
			continue;
		found = true;
		if (!runs[i].how && runs[i].ends_at > stage_now() + STOP_MS)
			runs[i].ends_at = stage_now() + STOP_MS;
		runs[i].how = "stopped";
	}
	if (!found)
		snprintf(w->stopped[w->n_stopped++ % STOPPED_MAX], 72,
			 "%s %lld", task, (long long)number);
	answer_call(c, 200, NULL);
}

static void acknowledge(struct worker *w, int64_t cursor)
{
	int i, n = 0;

	for (i = 0; i < w->n_ends; i++)
		if (w->ends[i].number > cursor)
			w->ends[n++] = w->ends[i];
	w->n_ends = n;
}

static void serve_worker(struct conn *c, const char *path, const char *expected,
			 const json_t *body)
{
	struct worker *w = &workers[c->worker];
	const char *task = json_string_value(json_object_get(body, "task"));
	int64_t run = json_integer_value(json_object_get(body, "run"));
	int64_t fence = json_integer_value(
		json_object_get(body, "fencingToken"));
	int64_t wait = json_integer_value(json_object_get(body, "waitMs"));

	if (!strcmp(path, "/health")) {
		reply(c, 200, json_object());
		return;
	}
	if (*expected && strcmp(expected, w->id)) {
		answer_call(c, 421, NULL);
		return;
	}
	if (fence < w->fence) {
		answer_call(c, 409, "fence");
		return;
	}
	w->fence = fence;
	if (!strcmp(path, "/run-start") && task) {
		start_run(c, w, body, task, run);
	} else if (!strcmp(path, "/run-stop") && task) {
		stop_run(c, w, task, run);
	} else if (!strcmp(path, "/hold")) {
		extend_lease(w, body);
		acknowledge(w, json_integer_value(
				       json_object_get(body, "ackCursor")));
		if (wait > 0 && !w->n_ends)
			c->waits_until = stage_now() + wait;
		else
			reply(c, 200, hold_lists(w, c->worker));
	} else {
		answer_call(c, 400, NULL);
	}
}

/* The value of a header, or "". */
static void header(const char *head, const char *name, char *out, size_t size)
{
	const char *p = strcasestr(head, name);
	size_t n;

	*out = 0;
	if (!p)
		return;
	p += strlen(name);
	p += strspn(p, ": ");
	n = strcspn(p, "\r\n");
	snprintf(out, size, "%.*s", (int)n, p);
}

/* Serves one request if all of it has been read; returns whether it did. */
static bool serve_request(struct conn *c)
{
	char method[16], path[1024], length[32], expected[64];
	char *end = c->in_len ? memmem(c->in, c->in_len, "\r\n\r\n", 4) : NULL;
	size_t head, n;
	json_t *body;

	if (!end || c->waits_until)
		return false;
	head = (size_t)(end - c->in) + 4;
	end[2] = 0;
	header(c->in, "\r\nContent-Length", length, sizeof(length));
	header(c->in, "\r\nExpected-Instance", expected, sizeof(expected));
	end[2] = '\r';
	n = strtoul(length, NULL, 10);
	if (c->in_len < head + n)
		return false;
	if (sscanf(c->in, "%15s %1023s", method, path) != 2) {
		close_conn(c);
		return false;
	}
	body = json_loadb(c->in + head, n, 0, NULL);
	memmove(c->in, c->in + head + n, c->in_len - head - n);
	c->in_len -= head + n;
	if (c->worker < 0)
		serve_store(c, method, path, body);
	else
		serve_worker(c, path, expected, body);
	json_decref(body);
	return true;
}

static void read_answer(struct conn *c)
{
	struct request *r = c->request;
	char *end = c->in_len ? memmem(c->in, c->in_len, "\r\n\r\n", 4) : NULL;
	char length[32];
	size_t head, n;

	if (!end)
		return;
	head = (size_t)(end - c->in) + 4;
	end[2] = 0;
	header(c->in, "\r\nContent-Length", length, sizeof(length));
	n = strtoul(length, NULL, 10);
	end[2] = '\r';
	if (c->in_len < head + n)
		return;
	r->status = atoi(c->in + 9);
	snprintf(r->body, sizeof(r->body), "%.*s", (int)n, c->in + head);
	r->done_at = stage_now();
	if (*r->label)
		stage_record("%s: answered %d %s", r->label, r->status,
			     n < 200 ? r->body : "");
	close_conn(c);
}

static void read_conn(struct conn *c)
{
	static char chunk[65536];
	ssize_t n = recv(c->fd, chunk, sizeof(chunk), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		close_conn(c);
		return;
	}
	c->in = realloc(c->in, c->in_len + (size_t)n);
	memcpy(c->in + c->in_len, chunk, (size_t)n);
	c->in_len += (size_t)n;
	if (c->kind == CLIENT)
		read_answer(c);
	else
		while (c->fd >= 0 && serve_request(c))
			;
}

static void write_conn(struct conn *c)
{
	ssize_t n = send(c->fd, c->out + c->out_sent, c->out_len - c->out_sent,
			 MSG_NOSIGNAL);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		close_conn(c);
		return;
	}
	c->out_sent += (size_t)n;
	if (c->out_sent < c->out_len)
		return;
	c->out_len = c->out_sent = 0;
}

static void accept_conn(struct conn *c)
{
	int one = 1, fd;

	while ((fd = accept4(c->fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		add_conn(fd, SERVE, c->worker);
	}
}

static void tick_worker(int i)
{
	struct worker *w = &workers[i];
	int r;

	if (stage_now() >= w->beat_at)
		register_worker(i);
	for (r = 0; r < n_runs; r++) {
		if (runs[r].worker != i || runs[r].ended_at)
			continue;
		if (worker_clock(w) > w->lease_until)
			end_run(r, "lapsed");
		else if (stage_now() >= runs[r].ends_at)
			end_run(r, runs[r].how ? runs[r].how : "done");
	}
}

static void tick_conn(struct conn *c)
{
	const struct worker *w;

	if (c->fd < 0 || !c->waits_until)
		return;
	if (c->worker < 0) {
		answer_watch(c);
	} else {
		w = &workers[c->worker];
		if (w->n_ends || stage_now() >= c->waits_until)
			reply(c, 200, hold_lists(w, c->worker));
	}
	if (c->fd >= 0 && !c->waits_until)
		while (c->fd >= 0 && serve_request(c))
			;
}

static void pump(int ms)
{
	static struct pollfd fds[CONNS_MAX];
	static int place[CONNS_MAX];
	int i, n = 0;

	for (i = 0; i < n_workers; i++)
		tick_worker(i);
	for (i = 0; i < CONNS_MAX; i++)
		tick_conn(&conns[i]);
	for (i = 0; i < CONNS_MAX; i++) {
		if (conns[i].fd < 0)
			continue;
		fds[n].fd = conns[i].fd;
		fds[n].events = POLLIN;
		if (conns[i].out_len)
			fds[n].events |= POLLOUT;
		place[n++] = i;
	}
	if (poll(fds, (nfds_t)n, ms) <= 0)
		return;
	for (i = 0; i < n; i++) {
		struct conn *c = &conns[place[i]];

		if (c->fd != fds[i].fd)
			continue;
		if (c->kind <= LISTEN_WORKER) {
			if (fds[i].revents)
				accept_conn(c);
			continue;
		}
		if (fds[i].revents & POLLOUT)
			write_conn(c);
		if (c->fd >= 0 && fds[i].revents & ~POLLOUT)
			read_conn(c);
	}
}

void stage_wait(int64_t ms)
{
	int64_t until = stage_now() + ms;

	while (stage_now() < until)
		pump(2);
}

static struct request *send_request(int port, const char *method,
				    const char *path, const char *headers,
				    const char *body, const char *label)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	struct request *r = calloc(1, sizeof(*r));
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct conn *c;

	r->sent_at = stage_now();
	snprintf(r->label, sizeof(r->label), "%s", label);
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sa.sin_port = htons((uint16_t)port);
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa))) {
		close(fd);
		r->status = -1;
		return r;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	c = add_conn(fd, CLIENT, 0);
	c->request = r;
	c->out_len = (size_t)asprintf(
		&c->out,
		"%s %s HTTP/1.1\r\nHost: shop.example\r\n%s"
		"Content-Type: application/json\r\nContent-Length: %zu\r\n"
		"\r\n%s",
		method, path, headers, strlen(body), body);
	return r;
}

struct request *stage_send(int i, const char *method, const char *path,
			   const char *headers, const char *body)
{
	char label[96];

	snprintf(label, sizeof(label), "client: %s %s at %s", method, path,
		 instances[i].name);
	stage_record("%s: sent %s", label, body);
	return send_request(instances[i].callers, method, path, headers, body,
			    label);
}

int stage_await(struct request *r, int64_t ms)
{
	int64_t until = stage_now() + ms;

	while (!r->status && stage_now() < until)
		pump(2);
	return r->status;
}

void stage_hang_up(struct request *r)
{
	int i;

	for (i = 0; i < CONNS_MAX; i++)
		if (conns[i].fd >= 0 && conns[i].request == r) {
			stage_record("%s: the client hangs up", r->label);
			conns[i].request = NULL;
			close_conn(&conns[i]);
		}
}

int64_t stage_cancel(int i, const char *id)
{
	struct request *r;
	char path[160];
	int status;

	snprintf(path, sizeof(path), "/jobs/%s", id);
	for (;;) {
		r = stage_send(i, "DELETE", path, "", "");
		status = stage_await(r, 2000);
		if (status == 410 || (status >= 200 && status < 300))
			return r->done_at;
		if (stage_now() > CANCELS_END_MS)
			stage_end(STAGE_NOT_RUN, "a cancel is never answered");
		stage_wait(CANCEL_RETRY_MS);
	}
}

struct request *stage_submit(int i, const char *id, int count, int cpu,
			     int work_ms, int deadline_ms)
{
	return stage_submit_with(i, id, count, cpu, work_ms, deadline_ms, "");
}

struct request *stage_submit_with(int i, const char *id, int count, int cpu,
				  int work_ms, int deadline_ms,
				  const char *fields)
{
	char path[64], head[64], body[512];

	snprintf(path, sizeof(path), "/jobs/%s", id);
	snprintf(head, sizeof(head), "Deadline-Remaining-Ms: %d\r\n",
		 deadline_ms);
	snprintf(body, sizeof(body),
		 "{\"taskSpec\":\"%d %d\",\"bestEffort\":true,\"steps\":[{"
		 "\"count\":%d,\"cpu\":%d,\"memMb\":64,\"estimatedMs\":%d%s}]}",
		 cpu, work_ms, count, cpu, work_ms, fields);
	return stage_send(i, "POST", path, head, body);
}

int stage_count_running(const char *id)
{
	int i, n = 0;

	for (i = 0; i < n_runs; i++)
		n += !runs[i].ended_at &&
		     !strncmp(runs[i].task, id, strlen(id));
	return n;
}

int stage_count_started(const char *id, int64_t from, int64_t to)
{
	int i, n = 0;

	for (i = 0; i < n_runs; i++)
		n += runs[i].began_at >= from && runs[i].began_at <= to &&
		     !strncmp(runs[i].task, id, strlen(id));
	return n;
}

static int get_admin(int i, const char *path, char *text, size_t size)
{
	struct request *r = send_request(instances[i].admin, "GET", path, "",
					 "", "");
	int status;

	/* The answer's text is kept only in part, so look at it here. */
	status = stage_await(r, 500);
	if (!status)
		stage_hang_up(r);
	snprintf(text, size, "%s", r->body);
	free(r);
	return status;
}

bool stage_is_ready(int i)
{
	char text[512];

	return get_admin(i, "/readyz", text, sizeof(text)) == 200;
}

/* The instance whose log tells last that it began to drive. */
int stage_driver(void)
{
	char path[1024], line[4096], *p;
	int i, found = -1;
	unsigned long long epoch, best = 0;
	FILE *f;

	for (i = 0; i < options.n_instances; i++) {
		snprintf(path, sizeof(path), "%s/%s.out", dir,
			 instances[i].name);
		f = fopen(path, "r");
		while (f && fgets(line, sizeof(line), f)) {
			if (!strstr(line, "drive_begun"))
				continue;
			p = strstr(line, "epoch=");
			epoch = p ? strtoull(p + 6, NULL, 10) : 0;
			if (epoch > best) {
				best = epoch;
				found = i;
			}
		}
		if (f)
			fclose(f);
	}
	return found;
}

static bool has_event(int i, const char *event)
{
	char path[1024], line[4096];
	bool found = false;
	FILE *f;

	snprintf(path, sizeof(path), "%s/%s.out", dir, instances[i].name);
	f = fopen(path, "r");
	while (f && !found && fgets(line, sizeof(line), f))
		found = strstr(line, event) != NULL;
	if (f)
		fclose(f);
	return found;
}

void stage_await_event(const char *event, int64_t ms)
{
	int64_t until = stage_now() + ms;
	int i = 0;

	while (i < options.n_instances) {
		if (has_event(i, event))
			i++;
		else
			stage_wait(50);
		if (stage_now() > until)
			stage_end(STAGE_NOT_RUN, event);
	}
}

void stage_signal(int i, int signum)
{
	stage_record("operator: %s gets signal %d (%s)", instances[i].name,
		     signum, strsignal(signum));
	kill(instances[i].pid, signum);
	instances[i].stopped = signum == SIGSTOP;
}

static int log_port(const char *path, const char *name)
{
	char line[4096], *p;
	FILE *f = fopen(path, "r");
	int port = 0;

	while (f && fgets(line, sizeof(line), f)) {
		p = strstr(line, name);
		if (p)
			port = atoi(p + strlen(name));
	}
	if (f)
		fclose(f);
	return port;
}

static void start_instance(int i)
{
	struct instance *in = &instances[i];
	char conf[1024], out[1024];
	FILE *f;

	snprintf(in->name, sizeof(in->name), "frontend-%d", i);
	snprintf(in->zone, sizeof(in->zone), "z%d", i % options.n_zones);
	snprintf(conf, sizeof(conf), "%s/%s.conf", dir, in->name);
	snprintf(out, sizeof(out), "%s/%s.out", dir, in->name);
	f = fopen(conf, "w");
	fprintf(f,
		"[instance]\nname = %s\ndomain = %s\n[machine]\n"
		"cpu_share = %s\ncpu_speed = 1\nlink_mbps = 1000\n[listen]\n"
		"callers = 127.0.0.1:0\npeers = 127.0.0.1:0\n"
		"admin = 127.0.0.1:0\n[cluster]\nname = review %d\n[platform]\n"
		"store = 127.0.0.1:%d\nconfig_apply_ms = 2000\n[workers]\n"
		"lease_ms = 1000\n",
		in->name, in->zone, options.cpu_share, (int)getpid(),
		store_port);
	fclose(f);
	in->pid = fork();
	if (!in->pid) {
		int fd = open(out, O_WRONLY | O_CREAT | O_TRUNC, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		execl("target/sycamoreshore", "target/sycamoreshore", "fleet",
		      "--settings", conf, (char *)NULL);
		_exit(127);
	}
}

static void await_instance(int i)
{
	struct instance *in = &instances[i];
	char out[1024];
	struct request *r;
	char id[32];

	snprintf(out, sizeof(out), "%s/%s.out", dir, in->name);
	while (!in->callers || !in->admin) {
		stage_wait(20);
		in->callers = log_port(out, "callers_port=");
		in->admin = log_port(out, "admin_port=");
		if (stage_now() > START_S * 1000)
			stage_end(STAGE_NOT_RUN, "an instance did not start");
	}
	while (!stage_is_ready(i)) {
		stage_wait(50);
		if (stage_now() > START_S * 1000)
			stage_end(STAGE_NOT_RUN, "an instance is not ready");
	}
	snprintf(id, sizeof(id), "%016x", 0xfeed00 + i);
	for (;;) {
		r = stage_submit(i, id, 1, 1000, 50, 3000);
		if (stage_await(r, 5000) == 200)
			break;
		stage_wait(500);
		if (stage_now() > 2 * START_S * 1000)
			stage_end(STAGE_NOT_RUN, "no job is served");
	}
}

void stage_add_worker(const char *kind)
{
	int i = n_workers++;
	struct worker *w = &workers[i];

	if (n_workers > WORKERS_MAX)
		stage_end(STAGE_NOT_RUN, "too many workers");
	snprintf(w->id, sizeof(w->id), "i-%08x", 0x7f3a9100 + i);
	snprintf(w->zone, sizeof(w->zone), "z%d", i % options.n_zones);
	snprintf(w->kind, sizeof(w->kind), "%s", kind);
	w->listener = listen_on_loopback(&w->port);
	w->born = mono_ms() - 1000;
	add_conn(w->listener, LISTEN_WORKER, i);
	register_worker(i);
	stage_record("worker %s joins, of kind %s", w->id, kind);
}

void stage_drain_worker(int i)
{
	workers[i].draining = true;
	register_worker(i);
	stage_record("worker %s: draining, acknowledged by the store",
		     workers[i].id);
}

void stage_put_entry(const char *key, size_t bytes)
{
	char *value = calloc(1, bytes + 1);

	memset(value, 'x', bytes);
	put_item(key, encode(value));
	free(value);
	stage_record("another writer: an entry %s of %zu bytes that can't be "
		     "read",
		     key, bytes);
}

void stage_begin(const struct stage_options *opt)
{
	int i, fd;

	options = *opt;
	if (!options.n_zones)
		options.n_zones = 4;
	if (!options.cpu_share)
		options.cpu_share = "0.25";
	began_ms = mono_ms();
	record = fopen(getenv("RECORD") ? getenv("RECORD") : "record.txt", "w");
	if (!record || access("target/sycamoreshore", X_OK)) {
		fprintf(stderr, "no record or no target/sycamoreshore\n");
		exit(STAGE_NOT_RUN);
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGHUP, on_signal);
	signal(SIGALRM, on_signal);
	alarm(LIMIT_S);
	runs = calloc(RUNS_MAX, sizeof(*runs));
	for (i = 0; i < CONNS_MAX; i++)
		conns[i].fd = -1;
	snprintf(dir, sizeof(dir), "/tmp/review-XXXXXX");
	if (!mkdtemp(dir))
		stage_end(STAGE_NOT_RUN, "no temporary folder");
	fd = listen_on_loopback(&store_port);
	add_conn(fd, LISTEN_STORE, -1);
	while (n_workers < options.n_workers)
		stage_add_worker(options.kind ? options.kind : "a");
	stage_put_config(stage_route);
	for (i = 0; i < options.n_instances; i++)
		start_instance(i);
	for (i = 0; i < options.n_instances; i++)
		await_instance(i);
	stage_record("stage: all instances serve; %s drives",
		     stage_driver() < 0 ? "none"
					: instances[stage_driver()].name);
}
