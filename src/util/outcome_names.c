#include "sycamoreshore/types.h"

static const char *const outcome_names[] = {
	[SYC_COMPLETED] = "completed",
	[SYC_FAILED] = "failed",
	[SYC_NOT_RUN] = "not_run",
	[SYC_UNKNOWN] = "unknown",
};

static const char *const reason_names[SYC_REASON_COUNT] = {
	[SYC_REASON_NONE] = "none",
	[SYC_BAD_REQUEST] = "bad_request",
	[SYC_UNAUTHORIZED] = "unauthorized",
	[SYC_TOO_LARGE] = "too_large",
	[SYC_KEY_REUSED] = "key_reused",
	[SYC_NO_FIT] = "no_fit",
	[SYC_NO_TARGET] = "no_target",
	[SYC_QUEUE_FULL] = "queue_full",
	[SYC_RATE_LIMIT] = "rate_limit",
	[SYC_DEADLINE] = "deadline",
	[SYC_NOT_READY] = "not_ready",
	[SYC_STOPPING] = "stopping",
	[SYC_HOME_UNREACHABLE] = "home_unreachable",
	[SYC_CLAIM_PENDING] = "claim_pending",
	[SYC_CLAIMS_LOST] = "claims_lost",
	[SYC_CLAIMS_FULL] = "claims_full",
	[SYC_TICKET_EXPIRED] = "ticket_expired",
	[SYC_CANCELLED] = "cancelled",
	[SYC_TASK_FAILED] = "task_failed",
	[SYC_TIME_LIMIT] = "time_limit",
	[SYC_CONNECTION_LOST] = "connection_lost",
	[SYC_TARGET_REFUSED] = "target_refused",
	[SYC_ANSWER_DROPPED] = "answer_dropped",
	[SYC_RUNNER_GONE] = "runner_gone",
};

const char *syc_outcome_name(enum syc_outcome outcome)
{
	if (outcome < SYC_COMPLETED || outcome > SYC_UNKNOWN)
		return "invalid";
	return outcome_names[outcome];
}

const char *syc_reason_name(enum syc_reason reason)
{
	if ((unsigned)reason >= SYC_REASON_COUNT)
		return "invalid";
	return reason_names[reason];
}
