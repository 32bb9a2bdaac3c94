/*
 * JSON of the caller API: parses submissions, writes answers and maps each
 * outcome and reason to an HTTP status. docs/API.md documents the format.
 */
#ifndef PROTOCOL_CALLER_JSON_H
#define PROTOCOL_CALLER_JSON_H

#include "protocol/protocol_error.h"
#include "sycamoreshore/types.h"
#include "util/buf.h"

enum {
	CALLER_RUN_MS_MAX = 3600 * 1000,
	CALLER_CPUS_MAX = 1024,
	CALLER_MEMORY_MB_MAX = 16 * 1024 * 1024,
	CALLER_ACCELERATORS_MAX = 1024,
	CALLER_DEADLINE_MS_MAX = 24 * 3600 * 1000,
	CALLER_TICKETS_MAX = 1000, /* tickets issued by one call */
	CALLER_MEMBER_MAX = 64 /* bytes of a member's path with terminator */
};

/* An error in the JSON of a submission. No task was started. */
struct caller_error {
	enum syc_reason reason;
	char member[CALLER_MEMBER_MAX]; /* as "tasks[3].run_ms"; or empty */
	char detail[SYC_DETAIL_MAX];
};

/* A parsed submission; `spec` points into the other members. */
struct caller_job {
	struct syc_job_spec spec;
	char kind[SYC_NAME_MAX];
	struct syc_task_spec *tasks;
	void *doc; /* parsed JSON, which holds the string bodies */
	void **owned; /* allocated bodies: decoded base64, other JSON values */
	size_t n_owned;
};

/*
 * Parses the body of POST /v1/jobs, or of POST /v1/requests when `single` is
 * set. After PROTOCOL_OK the caller frees `job` with caller_job_free. After
 * any other status `err` is set and nothing is to be freed. `spec.caller` is
 * not set.
 */
enum protocol_status caller_job_read(struct caller_job *job,
				     struct syc_bytes text, bool single,
				     struct caller_error *err);
void caller_job_free(struct caller_job *job);

/* Whether `key` is a valid idempotency key: 1 to 127 visible ASCII bytes. */
bool caller_key_valid(const char *key);

/* Append an answer, or an error, as one JSON object. */
void caller_answer_write(struct buf *out, const struct syc_answer *answer);
void caller_error_write(struct buf *out, const struct caller_error *err);
/* Appends {"state":...}, with the answer when `answer` is not NULL. */
void caller_state_write(struct buf *out, const char *state,
			const struct syc_answer *answer);

/* Returns the HTTP status of an outcome and its reason. */
unsigned caller_http_status(enum syc_outcome outcome, enum syc_reason reason);

/* Converts ms to seconds for a Retry-After header, rounded up. */
uint32_t caller_retry_after_s(uint32_t ms);

#endif
