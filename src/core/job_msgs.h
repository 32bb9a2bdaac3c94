/*
 * Messages that carry requests and answers between instances. Requests and
 * answers are also stored in this form: one block of bytes, which is
 * unpacked into views when it is needed.
 */
#ifndef CORE_JOB_MSGS_H
#define CORE_JOB_MSGS_H

#include "protocol/wire.h"
#include "sycamoreshore/types.h"

/* What a request asks of its receiver. */
enum job_action {
	JOB_SUBMIT = 1, /* run it, join it or replay its answer */
	JOB_LOOKUP, /* join it or replay its answer, but never start it */
	JOB_CANCEL, /* cancel it and report its state */
	JOB_QUERY /* report its state */
};

/* An unpacked request; views point into the message. */
struct job_request {
	uint64_t request_id; /* chosen by the sender, returned in the answer */
	enum job_action action;
	uint32_t hops; /* instances that have handled it so far */
	char caller[SYC_NAME_MAX];
	char key[SYC_KEY_MAX]; /* empty: none */
	char kind[SYC_NAME_MAX];
	struct syc_job_spec spec;
	struct syc_task_spec *tasks; /* freed by job_request_free */
};

/* An unpacked answer; views point into the message. */
struct job_answer {
	uint64_t request_id;
	char state[16]; /* for JOB_CANCEL and JOB_QUERY; else empty */
	struct syc_answer answer;
	struct syc_task_result *results; /* freed by job_answer_free */
};

/*
 * Makes a request that no instance has handled yet. `key` is NULL for none.
 * `spec` is NULL for an action that only names a key.
 */
struct job_request job_request_make(enum job_action action, const char *caller,
				    const char *key,
				    const struct syc_job_spec *spec);

void job_request_pack(struct wire_out *w, const struct job_request *m);
/* Returns false when the message is malformed; nothing is to be freed then. */
bool job_request_unpack(struct wire_in *w, struct syc_bytes msg,
			struct job_request *m);
/* Frees the tasks and closes the reader `w`. */
void job_request_free(struct wire_in *w, struct job_request *m);

void job_answer_pack(struct wire_out *w, uint64_t request_id, const char *state,
		     const struct syc_answer *answer);
bool job_answer_unpack(struct wire_in *w, struct syc_bytes msg,
		       struct job_answer *m);
void job_answer_free(struct wire_in *w, struct job_answer *m);

#endif
