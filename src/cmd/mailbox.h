/*
 * The mailbox of a component: typed messages that other components of the
 * same loop post, delivered in order before the loop next waits for I/O. A
 * message owns a copy of its payload, so components share no state.
 */
#ifndef CMD_MAILBOX_H
#define CMD_MAILBOX_H

#include <ev.h>

#include "sycamoreshore/types.h"

enum mail_type {
	/* to the core, or to the fleet */
	MAIL_SUBMIT = 1, /* id: tag; payload: job_request_pack */
	MAIL_RESULT, /* id: start; payload: struct result_mail, body */
	MAIL_PEER_UP, /* id: peer; payload: struct syc_instance */
	MAIL_PEER_DOWN, /* id: peer */
	MAIL_PEER_MESSAGE, /* id: peer; payload: the message */
	/*
	 * To the caller server, or to the job server of the fleet. id: tag;
	 * payload: job_answer_pack, or struct fleet_answer in the fleet.
	 */
	MAIL_ANSWER,
	/* To the job server of the fleet. id: tag; payload: a bool, done. */
	MAIL_CANCELLED,
	/* to the target client */
	MAIL_START, /* id: start; payload: struct start_mail, body */
	MAIL_STOP /* id: start */
};

struct mail {
	struct mail *next;
	enum mail_type type;
	uint64_t id;
	size_t len;
	char payload[];
};

struct mailbox {
	struct ev_loop *loop;
	struct ev_prepare prepare;
	struct ev_idle idle;
	struct mail *first;
	struct mail **end;
	void *ctx;
	/* Handles one message; the mailbox frees it afterwards. */
	void (*deliver)(void *ctx, const struct mail *m);
};

void mailbox_init(struct mailbox *b, struct ev_loop *loop,
		  void (*deliver)(void *ctx, const struct mail *m), void *ctx);
void mailbox_free(struct mailbox *b);

/* Posts a message whose payload is `head` followed by `body`. */
void mailbox_post(struct mailbox *b, enum mail_type type, uint64_t id,
		  struct syc_bytes head, struct syc_bytes body);

#endif
