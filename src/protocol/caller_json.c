#include <jansson.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "protocol/caller_json.h"
#include "util/alloc.h"

/* A JSON member with an integer value, and its offset in the struct. */
struct numeric_member {
	const char *name;
	json_int_t max;
	size_t offset;
};

static const struct numeric_member task_numbers[] = {
	{"run_ms", CALLER_RUN_MS_MAX, offsetof(struct syc_task_spec, run_ms)},
	{"cpus", CALLER_CPUS_MAX, offsetof(struct syc_task_spec, cpus)},
	{"memory_mb", CALLER_MEMORY_MB_MAX,
	 offsetof(struct syc_task_spec, memory_mb)},
	{"accelerators", CALLER_ACCELERATORS_MAX,
	 offsetof(struct syc_task_spec, accelerators)},
};

static const struct numeric_member deadline_member = {
	"deadline_ms", CALLER_DEADLINE_MS_MAX,
	offsetof(struct syc_job_spec, deadline_ms)};

/* Result of reading a member. */
enum read_result { MEMBER_UNKNOWN, MEMBER_READ, MEMBER_REFUSED };

/* State of a parse: the job that is filled and the first error. */
struct reader {
	struct caller_job *job;
	struct caller_error *err;
};

__attribute__((format(printf, 4, 5))) static enum read_result refuse(
	struct reader *r, enum syc_reason reason, const char *member,
	const char *fmt, ...)
{
	va_list ap;

	r->err->reason = reason;
	copy_text(r->err->member, sizeof(r->err->member), member);
	va_start(ap, fmt);
	vsnprintf(r->err->detail, sizeof(r->err->detail), fmt, ap);
	va_end(ap);
	return MEMBER_REFUSED;
}

/* Writes the path of member `name` of the object at `where` into `out`. */
static const char *format_path(char *out, const char *where, const char *name)
{
	snprintf(out, CALLER_MEMBER_MAX, "%.20s%s%.40s", where,
		 *where ? "." : "", name);
	return out;
}

static enum read_result read_number(struct reader *r,
				    const struct numeric_member *member,
				    const char *path, const json_t *val,
				    void *dst)
{
	json_int_t n = json_integer_value(val);

	if (!json_is_integer(val))
		return refuse(r, SYC_BAD_REQUEST, path,
			      "must be a whole number");
	if (n < 0 || n > member->max)
		return refuse(r, SYC_BAD_REQUEST, path,
			      "must be from 0 to %" JSON_INTEGER_FORMAT,
			      member->max);
	*(uint32_t *)((char *)dst + member->offset) = (uint32_t)n;
	return MEMBER_READ;
}

static void *add_owned(struct caller_job *job, void *p)
{
	job->owned[job->n_owned++] = p;
	return p;
}

static enum read_result read_body(struct reader *r, struct syc_task_spec *task,
				  const json_t *val)
{
	char *text;

	if (json_is_string(val)) {
		task->body.p = json_string_value(val);
		task->body.n = json_string_length(val);
		return MEMBER_READ;
	}
	text = json_dumps(val, JSON_COMPACT | JSON_ENCODE_ANY);
	if (!text)
		return refuse(r, SYC_BAD_REQUEST, "body", "is no JSON value");
	task->body.p = add_owned(r->job, text);
	task->body.n = strlen(text);
	return MEMBER_READ;
}

static enum read_result read_base64(struct reader *r,
				    struct syc_task_spec *task,
				    const char *path, const json_t *val)
{
	size_t len = json_string_length(val);
	unsigned char *bin;

	if (!json_is_string(val))
		return refuse(r, SYC_BAD_REQUEST, path, "must be a string");
	bin = add_owned(r->job, xcalloc(1, len / 4 * 3 + 4));
	task->body.p = bin;
	if (sodium_base642bin(bin, len / 4 * 3 + 4, json_string_value(val), len,
			      NULL, &task->body.n, NULL,
			      sodium_base64_VARIANT_ORIGINAL))
		return refuse(r, SYC_BAD_REQUEST, path, "is no base64");
	return MEMBER_READ;
}

/* Reads a member of a task, or returns MEMBER_UNKNOWN for another name. */
static enum read_result read_task_member(struct reader *r,
					 struct syc_task_spec *task,
					 const char *where, const char *name,
					 const json_t *val)
{
	char path[CALLER_MEMBER_MAX];
	bool is_body = !strcmp(name, "body");
	size_t i;

	format_path(path, where, name);
	if (is_body || !strcmp(name, "body_base64")) {
		if (task->body.p)
			return refuse(r, SYC_BAD_REQUEST, path,
				      "body and body_base64 exclude each "
				      "other");
		return is_body ? read_body(r, task, val)
			       : read_base64(r, task, path, val);
	}
	for (i = 0; i < sizeof(task_numbers) / sizeof(*task_numbers); i++)
		if (!strcmp(name, task_numbers[i].name))
			return read_number(r, &task_numbers[i], path, val,
					   task);
	return MEMBER_UNKNOWN;
}

static enum read_result refuse_unknown_member(struct reader *r,
					      const char *where,
					      const char *name)
{
	char path[CALLER_MEMBER_MAX];

	return refuse(r, SYC_BAD_REQUEST, format_path(path, where, name),
		      "is not known here");
}

static enum read_result read_task(struct reader *r, size_t i, json_t *obj)
{
	struct syc_task_spec *task = &r->job->tasks[i];
	char where[CALLER_MEMBER_MAX];
	const char *name;
	enum read_result result;
	json_t *val;

	snprintf(where, sizeof(where), "tasks[%zu]", i);
	if (!json_is_object(obj))
		return refuse(r, SYC_BAD_REQUEST, where, "must be an object");
	json_object_foreach(obj, name, val)
	{
		result = read_task_member(r, task, where, name, val);
		if (result == MEMBER_UNKNOWN)
			result = refuse_unknown_member(r, where, name);
		if (result == MEMBER_REFUSED)
			return MEMBER_REFUSED;
	}
	return MEMBER_READ;
}

/* Allocates `n` tasks, each of which owns at most one body. */
static void allocate_tasks(struct caller_job *job, size_t n)
{
	job->tasks = xcalloc(n, sizeof(*job->tasks));
	job->owned = xcalloc(n, sizeof(*job->owned));
	job->spec.tasks = job->tasks;
	job->spec.n_tasks = (uint32_t)n;
}

static enum read_result read_tasks(struct reader *r, json_t *list)
{
	size_t n = json_array_size(list), i;

	if (!json_is_array(list))
		return refuse(r, SYC_BAD_REQUEST, "tasks", "must be an array");
	if (!n)
		return refuse(r, SYC_BAD_REQUEST, "tasks",
			      "must hold at least one task");
	if (n > SYC_TASKS_MAX)
		return refuse(r, SYC_TOO_LARGE, "tasks",
			      "holds %zu tasks, at most %d are taken", n,
			      SYC_TASKS_MAX);
	allocate_tasks(r->job, n);
	for (i = 0; i < n; i++)
		if (read_task(r, i, json_array_get(list, i)) == MEMBER_REFUSED)
			return MEMBER_REFUSED;
	return MEMBER_READ;
}

static enum read_result read_kind(struct reader *r, const json_t *val)
{
	const char *kind = json_string_value(val);
	size_t len = json_string_length(val);

	if (!kind)
		return refuse(r, SYC_BAD_REQUEST, "kind", "must be a string");
	if (!len || len >= SYC_NAME_MAX || strlen(kind) != len)
		return refuse(r, SYC_BAD_REQUEST, "kind",
			      "must be a name of 1 to %d bytes",
			      SYC_NAME_MAX - 1);
	copy_text(r->job->kind, sizeof(r->job->kind), kind);
	r->job->spec.kind = r->job->kind;
	return MEMBER_READ;
}

static enum read_result read_job_member(struct reader *r, const char *name,
					json_t *val)
{
	struct caller_job *job = r->job;

	if (!strcmp(name, "kind"))
		return read_kind(r, val);
	if (!strcmp(name, deadline_member.name))
		return read_number(r, &deadline_member, name, val, &job->spec);
	if (job->spec.single)
		return read_task_member(r, job->tasks, "", name, val);
	if (!strcmp(name, "tasks"))
		return read_tasks(r, val);
	return MEMBER_UNKNOWN;
}

static enum read_result read_job(struct reader *r)
{
	json_t *doc = r->job->doc;
	enum read_result result;
	const char *name;
	json_t *val;

	if (!json_is_object(doc))
		return refuse(r, SYC_BAD_REQUEST, "", "must be a JSON object");
	json_object_foreach(doc, name, val)
	{
		result = read_job_member(r, name, val);
		if (result == MEMBER_UNKNOWN)
			result = refuse_unknown_member(r, "", name);
		if (result == MEMBER_REFUSED)
			return MEMBER_REFUSED;
	}
	if (!r->job->spec.kind)
		return refuse(r, SYC_BAD_REQUEST, "kind", "is missing");
	if (!r->job->tasks)
		return refuse(r, SYC_BAD_REQUEST, "tasks", "is missing");
	return MEMBER_READ;
}

enum protocol_status caller_job_read(struct caller_job *job,
				     struct syc_bytes text, bool single,
				     struct caller_error *err)
{
	struct reader r = {job, err};
	json_error_t at;

	memset(job, 0, sizeof(*job));
	memset(err, 0, sizeof(*err));
	job->doc = json_loadb(text.n ? text.p : "", text.n,
			      JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, &at);
	if (!job->doc) {
		refuse(&r, SYC_BAD_REQUEST, "", "line %d column %d: %.100s",
		       at.line, at.column, at.text);
		return protocol_fail(PROTOCOL_SYNTAX, "%s", err->detail);
	}
	job->spec.single = single;
	if (single)
		allocate_tasks(job, 1);
	if (read_job(&r) == MEMBER_READ)
		return PROTOCOL_OK;
	caller_job_free(job);
	return protocol_fail(PROTOCOL_RANGE, "%s %s", err->member, err->detail);
}

void caller_job_free(struct caller_job *job)
{
	size_t i;

	for (i = 0; i < job->n_owned; i++)
		free(job->owned[i]);
	free(job->owned);
	free(job->tasks);
	json_decref(job->doc);
	memset(job, 0, sizeof(*job));
}

bool caller_key_valid(const char *key)
{
	const char *p = key;

	while (*p > 0x20 && *p < 0x7f)
		p++;
	return !*p && p > key && p - key < SYC_KEY_MAX;
}
