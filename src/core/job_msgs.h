/*
 * The messages that carry submissions and answers between instances. They
 * also serve as the form in which both are kept: one block of bytes that is
 * unpacked into views when it is needed.
 */
#ifndef CORE_JOB_MSGS_H
#define CORE_JOB_MSGS_H

#include "protocol/wire.h"
#include "sycamoreshore/types.h"

/* What a forwarded request asks of the receiver. */
enum job_action {
	JOB_SUBMIT = 1, /* run it, join it or replay its answer */
	JOB_LOOKUP, /* join it or replay its answer, never start it */
	JOB_CANCEL,
	JOB_QUERY
};

/* A submission as unpacked; views point into the message. */
struct job_request {
	uint64_t request; /* the sender's own number, given back */
	enum job_action action;
	uint32_t hops; /* instances it has passed so far */
	char caller[SYC_NAME_MAX];
	char key[SYC_KEY_MAX]; /* empty: none */
	char kind[SYC_NAME_MAX];
	struct syc_job_spec spec;
	struct syc_task_spec *tasks; /* freed by job_request_free */
};

/* An answer as unpacked; views point into the message. */
struct job_answer {
	uint64_t request;
	char state[16]; /* for JOB_CANCEL and JOB_QUERY; else empty */
	struct syc_answer answer;
	struct syc_task_result *results; /* freed by job_answer_free */
};

/*
 * Makes the message of a request that has passed no instance yet. `key` is
 * NULL for none; `spec` is NULL for what only asks about a key.
 */
struct job_request job_request_make(enum job_action action, const char *caller,
				    const char *key,
				    const struct syc_job_spec *spec);

void job_request_pack(struct wire_out *w, const struct job_request *m);
/* False when the message cannot be read; nothing is to be freed then. */
bool job_request_unpack(struct wire_in *w, struct syc_bytes msg,
			struct job_request *m);
/* Frees the tasks and closes the reader. */
void job_request_free(struct wire_in *w, struct job_request *m);

void job_answer_pack(struct wire_out *w, uint64_t request, const char *state,
		     const struct syc_answer *answer);
bool job_answer_unpack(struct wire_in *w, struct syc_bytes msg,
		       struct job_answer *m);
void job_answer_free(struct wire_in *w, struct job_answer *m);

#endif
