#include <jansson.h>
#include <sodium.h>
#include <string.h>

#include "protocol/caller_json.h"
#include "util/alloc.h"
#include "util/cleanup.h"
#include "util/invariant.h"

/*
 * HTTP statuses for an outcome of SYC_NOT_RUN and for all others. Only the
 * first may be 429 or 503, since some clients react to these by sending the
 * request again.
 */
static const struct {
	unsigned not_run;
	unsigned otherwise;
} statuses[SYC_REASON_COUNT] = {
	[SYC_REASON_NONE] = {503, 502},	     [SYC_BAD_REQUEST] = {400, 400},
	[SYC_UNAUTHORIZED] = {401, 401},     [SYC_TOO_LARGE] = {413, 413},
	[SYC_KEY_REUSED] = {422, 422},	     [SYC_NO_FIT] = {422, 422},
	[SYC_NO_TARGET] = {503, 502},	     [SYC_QUEUE_FULL] = {503, 502},
	[SYC_RATE_LIMIT] = {429, 502},	     [SYC_DEADLINE] = {504, 504},
	[SYC_NOT_READY] = {503, 502},	     [SYC_STOPPING] = {503, 502},
	[SYC_HOME_UNREACHABLE] = {503, 504}, [SYC_CLAIM_PENDING] = {503, 504},
	[SYC_CLAIMS_LOST] = {503, 502},	     [SYC_CLAIMS_FULL] = {503, 502},
	[SYC_TICKET_EXPIRED] = {410, 410},   [SYC_CANCELLED] = {409, 409},
	[SYC_TASK_FAILED] = {502, 502},	     [SYC_TIME_LIMIT] = {504, 504},
	[SYC_CONNECTION_LOST] = {502, 502},  [SYC_TARGET_REFUSED] = {503, 502},
	[SYC_ANSWER_DROPPED] = {410, 410},   [SYC_RUNNER_GONE] = {502, 502},
};

unsigned caller_http_status(enum syc_outcome outcome, enum syc_reason reason)
{
	invariant((unsigned)reason < SYC_REASON_COUNT);
	if (outcome == SYC_COMPLETED && reason == SYC_REASON_NONE)
		return 200;
	if (outcome == SYC_NOT_RUN)
		return statuses[reason].not_run;
	return statuses[reason].otherwise;
}

uint32_t caller_retry_after_s(uint32_t ms)
{
	return ms / 1000 + (ms % 1000 != 0);
}

static json_t *base64_json(struct syc_bytes body)
{
	size_t size = sodium_base64_encoded_len(body.n,
						sodium_base64_VARIANT_ORIGINAL);
	auto_free char *text = xcalloc(1, size);

	sodium_bin2base64(text, size, body.p, body.n,
			  sodium_base64_VARIANT_ORIGINAL);
	return json_string(text);
}

static json_t *result_json(const struct syc_task_result *res)
{
	json_t *obj = json_object();
	json_t *text = json_stringn(res->body.n ? res->body.p : "",
				    res->body.n);

	json_object_set_new(obj, "status", json_integer(res->status));
	if (text)
		json_object_set_new(obj, "body", text);
	else
		json_object_set_new(obj, "body_base64", base64_json(res->body));
	return obj;
}

static json_t *results_json(const struct syc_answer *answer)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < answer->n_results; i++)
		json_array_append_new(list, result_json(&answer->results[i]));
	return list;
}

static json_t *answer_json(const struct syc_answer *a)
{
	json_t *obj = json_object();

	json_object_set_new(obj, "outcome",
			    json_string(syc_outcome_name(a->outcome)));
	if (a->outcome == SYC_COMPLETED && a->reason == SYC_REASON_NONE) {
		json_object_set_new(obj, "results", results_json(a));
		return obj;
	}
	json_object_set_new(obj, "reason",
			    json_string(syc_reason_name(a->reason)));
	/* A detail truncated within a UTF-8 character is omitted. */
	json_object_set_new(obj, "detail", json_string(a->detail));
	if (a->retry_after_ms)
		json_object_set_new(obj, "retry_after_ms",
				    json_integer(a->retry_after_ms));
	return obj;
}

static void write_and_free(struct buf *out, json_t *obj)
{
	auto_free char *text = json_dumps(obj, JSON_COMPACT);

	buf_puts(out, text ? text : "{}");
	json_decref(obj);
}

void caller_answer_write(struct buf *out, const struct syc_answer *answer)
{
	write_and_free(out, answer_json(answer));
}

void caller_state_write(struct buf *out, const char *state,
			const struct syc_answer *answer)
{
	json_t *obj = json_object();

	json_object_set_new(obj, "state", json_string(state));
	if (answer)
		json_object_set_new(obj, "answer", answer_json(answer));
	write_and_free(out, obj);
}

void caller_error_write(struct buf *out, const struct caller_error *err)
{
	struct syc_answer answer = {.outcome = SYC_NOT_RUN,
				    .reason = err->reason};
	json_t *obj;

	copy_text(answer.detail, sizeof(answer.detail), err->detail);
	obj = answer_json(&answer);
	if (*err->member)
		json_object_set_new(obj, "member", json_string(err->member));
	write_and_free(out, obj);
}
