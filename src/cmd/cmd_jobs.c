/* `sycamoreshore jobs`: submits, shows and cancels jobs, and gets tickets. */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "cmd/cmd.h"
#include "cmd/fetch.h"
#include "cmd/options.h"
#include "util/cleanup.h"

static struct {
	char *entry;
	char *token_file;
	char *key;
	char *kind;
	char *file;
	int request;
	int deadline_ms;
	int run_ms;
	int timeout_ms;
} args = {.timeout_ms = 60000};

static const struct poptOption option_table[] = {
	{"entry", 'e', POPT_ARG_STRING, &args.entry, 0,
	 "address for callers of the instance", "IP:PORT"},
	{"token-file", 't', POPT_ARG_STRING, &args.token_file, 0,
	 "file with the caller's bearer token", "FILE"},
	{"key", 'k', POPT_ARG_STRING, &args.key, 0,
	 "idempotency key of a submission", "KEY"},
	{"kind", 0, POPT_ARG_STRING, &args.kind, 0, "kind of the tasks",
	 "NAME"},
	{"file", 'f', POPT_ARG_STRING, &args.file, 0,
	 "send the JSON text of this file; - for standard input", "FILE"},
	{"request", 'r', POPT_ARG_NONE, &args.request, 0,
	 "submit one request in place of a job", NULL},
	{"deadline-ms", 0, POPT_ARG_INT, &args.deadline_ms, 0,
	 "deadline, counted from the arrival", "MS"},
	{"run-ms", 0, POPT_ARG_INT, &args.run_ms, 0,
	 "declared run time of each task", "MS"},
	{"timeout-ms", 0, POPT_ARG_INT, &args.timeout_ms, 0,
	 "time limit of the answer", "MS"},
	POPT_AUTOHELP POPT_TABLEEND};

static const char usage[] = "submit BODY... | show KEY | cancel KEY | "
			    "tickets COUNT [OPTION...]";

/* Sends one call as the caller and prints the answer. */
static int send_call(const struct syc_addr *entry, const char *method,
		     const char *path, const struct buf *body)
{
	struct buf auto_buf token = {0}, auth = {0}, key = {0};
	const char *headers[4] = {"Content-Type: application/json"};
	struct fetch auto_fetch f = {0};
	struct http_call call = {.method = method,
				 .addr = *entry,
				 .path = path,
				 .headers = headers,
				 .timeout_ms = (uint32_t)args.timeout_ms,
				 .body_max = FETCH_BODY_MAX};

	if (!args.token_file || !token_read(args.token_file, &token))
		return EXIT_USAGE;
	buf_printf(&auth, "Authorization: Bearer %s", token.data);
	headers[1] = auth.data;
	if (args.key && body) {
		buf_printf(&key, "Idempotency-Key: %s", args.key);
		headers[2] = key.data;
	}
	if (body)
		call.body = (struct syc_bytes){body->data, body->len};
	fetch(&f, &call);
	if (f.end != HTTP_ANSWERED) {
		fprintf(stderr, "jobs: %s: %s\n", args.entry, f.message);
		return EXIT_UNREACHABLE;
	}
	printf("%s\n", f.body.data ? f.body.data : "");
	return f.status < 300 ? EXIT_DONE : EXIT_FAILED;
}

static json_t *task_json(const char *body)
{
	json_t *task = json_object();

	json_object_set_new(task, "body", json_string(body));
	if (args.run_ms)
		json_object_set_new(task, "run_ms", json_integer(args.run_ms));
	return task;
}

/* Builds the submission from the options and arguments. */
static void build_submission(poptContext ctx, struct buf *out)
{
	const char *body = poptGetArg(ctx);
	json_t *doc, *tasks;
	auto_free char *text = NULL;

	if (args.request) {
		doc = task_json(body ? body : "");
	} else {
		doc = json_object();
		tasks = json_array();
		for (; body; body = poptGetArg(ctx))
			json_array_append_new(tasks, task_json(body));
		json_object_set_new(doc, "tasks", tasks);
	}
	if (args.kind)
		json_object_set_new(doc, "kind", json_string(args.kind));
	if (args.deadline_ms)
		json_object_set_new(doc, "deadline_ms",
				    json_integer(args.deadline_ms));
	text = json_dumps(doc, JSON_COMPACT);
	buf_puts(out, text ? text : "");
	json_decref(doc);
}

static int submit(poptContext ctx, const struct syc_addr *entry)
{
	struct buf auto_buf body = {0};

	if (args.file && !file_read(args.file, &body))
		return EXIT_USAGE;
	if (!args.file)
		build_submission(ctx, &body);
	return send_call(entry, "POST",
			 args.request ? "/v1/requests" : "/v1/jobs", &body);
}

/* Sends a call to the path `prefix` followed by the next argument. */
static int send_named_call(poptContext ctx, const struct syc_addr *entry,
			   const char *method, const char *prefix)
{
	struct buf auto_buf path = {0};
	const char *arg = poptGetArg(ctx);

	if (!arg) {
		poptPrintUsage(ctx, stderr, 0);
		return EXIT_USAGE;
	}
	buf_printf(&path, "%s%s", prefix, arg);
	return send_call(entry, method, path.data, NULL);
}

int cmd_jobs(int argc, const char **argv)
{
	poptContext auto_options ctx = options_open("sycamoreshore jobs", argc,
						    argv, option_table, usage);
	struct addr_list entry;
	const char *verb;

	if (!options_read(ctx, "jobs") ||
	    !addr_list_read(&entry, args.entry, "entry"))
		return EXIT_USAGE;
	verb = poptGetArg(ctx);
	if (verb && !strcmp(verb, "submit"))
		return submit(ctx, &entry.addr[0]);
	if (verb && !strcmp(verb, "show"))
		return send_named_call(ctx, &entry.addr[0], "GET", "/v1/jobs/");
	if (verb && !strcmp(verb, "cancel"))
		return send_named_call(ctx, &entry.addr[0], "DELETE",
				       "/v1/jobs/");
	if (verb && !strcmp(verb, "tickets"))
		return send_named_call(ctx, &entry.addr[0], "POST",
				       "/v1/tickets?count=");
	poptPrintUsage(ctx, stderr, 0);
	return EXIT_USAGE;
}
