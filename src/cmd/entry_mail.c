#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/entry.h"
#include "core/job_msgs.h"
#include "util/alloc.h"
#include "util/invariant.h"

static const struct syc_bytes no_bytes = {NULL, 0};

/* Posts an answer. `state` is empty unless the state of a job was requested. */
static void post_answer(struct entry *e, uint64_t tag, const char *state,
			const struct syc_answer *answer)
{
	auto_wire_out struct wire_out w;

	job_answer_pack(&w, tag, state, answer);
	mailbox_post(&e->to_callers, MAIL_ANSWER, tag, wire_bytes(&w),
		     no_bytes);
}

static void core_answer_cb(void *ctx, uint64_t tag,
			   const struct syc_answer *answer)
{
	post_answer(ctx, tag, "", answer);
}

static void core_state_cb(void *ctx, uint64_t tag, const char *state,
			  const struct syc_answer *answer)
{
	post_answer(ctx, tag, state, answer);
}

static void core_start_cb(void *ctx, const struct syc_start *start)
{
	struct entry *e = ctx;
	struct start_mail m = {
		.target = *start->target,
		.service = *start->service,
		.task = start->task,
		.epoch = syc_core_epoch(e->core),
		.attempt = start->attempt,
		.time_limit_ms = start->time_limit_ms,
	};
	struct syc_bytes head = {&m, sizeof(m)};

	copy_text(m.kind, sizeof(m.kind), start->kind);
	copy_text(m.caller, sizeof(m.caller), start->caller);
	mailbox_post(&e->to_targets, MAIL_START, start->id, head, start->body);
}

static void core_stop_cb(void *ctx, uint64_t start_id)
{
	struct entry *e = ctx;

	mailbox_post(&e->to_targets, MAIL_STOP, start_id, no_bytes, no_bytes);
}

static bool core_send_cb(void *ctx, uint64_t to, struct syc_bytes msg)
{
	struct entry *e = ctx;

	/* The link queues the message; false: the link is down. */
	return peer_links_send(e->peers, to, msg);
}

static void core_dial_cb(void *ctx, const struct syc_addr *addr)
{
	struct entry *e = ctx;

	peer_links_dial(e->peers, addr);
}

static void core_event_cb(void *ctx, const char *event, const char *detail)
{
	log_info(event, LOG_S("task", "core"), LOG_S("detail", detail));
}

void entry_mail_set_core_callbacks(struct entry *e,
				   struct syc_core_options *opt)
{
	opt->ctx = e;
	opt->answer = core_answer_cb;
	opt->report_state = core_state_cb;
	opt->start = core_start_cb;
	opt->stop = core_stop_cb;
	opt->send = core_send_cb;
	opt->dial = core_dial_cb;
	opt->event = core_event_cb;
}

static void post_caller_request(struct entry *e, uint64_t tag,
				enum job_action action, const char *caller,
				const char *key,
				const struct syc_job_spec *spec)
{
	auto_wire_out struct wire_out w;
	struct job_request m = job_request_make(action, caller, key, spec);

	job_request_pack(&w, &m);
	mailbox_post(&e->to_core, MAIL_SUBMIT, tag, wire_bytes(&w), no_bytes);
}

static void caller_submit_cb(void *ctx, uint64_t tag, const char *key,
			     const struct syc_job_spec *spec)
{
	post_caller_request(ctx, tag, JOB_SUBMIT, spec->caller, key, spec);
}

static void caller_cancel_cb(void *ctx, uint64_t tag, const char *caller,
			     const char *key)
{
	post_caller_request(ctx, tag, JOB_CANCEL, caller, key, NULL);
}

static void caller_show_cb(void *ctx, uint64_t tag, const char *caller,
			   const char *key)
{
	post_caller_request(ctx, tag, JOB_QUERY, caller, key, NULL);
}

/*
 * A caller that closed its connection may resubmit with the same key, so its
 * submission continues. The caller server drops the answer.
 */
static void client_gone_cb(void *ctx, uint64_t tag)
{
	log_debug("caller_gone", LOG_S("task", "callers"), LOG_U("tag", tag));
}

static struct syc_bundle *caller_bundle_cb(void *ctx)
{
	struct entry *e = ctx;

	return syc_core_bundle(e->core);
}

static bool issue_ticket_cb(void *ctx, const char *caller, char *out)
{
	struct entry *e = ctx;

	return syc_core_issue_ticket(e->core, entry_now(), caller, out);
}

void entry_mail_set_caller_callbacks(struct entry *e,
				     struct caller_server_options *opt)
{
	opt->ctx = e;
	opt->bundle = caller_bundle_cb;
	opt->submit = caller_submit_cb;
	opt->cancel = caller_cancel_cb;
	opt->show = caller_show_cb;
	opt->client_gone = client_gone_cb;
	opt->issue_ticket = issue_ticket_cb;
}

static void target_result_cb(void *ctx, uint64_t start_id,
			     const struct syc_send_result *res)
{
	struct entry *e = ctx;
	struct result_mail m = {.end = res->end, .status = res->status};
	struct syc_bytes head = {&m, sizeof(m)};

	mailbox_post(&e->to_core, MAIL_RESULT, start_id, head, res->body);
}

void entry_mail_set_target_callbacks(struct entry *e,
				     struct target_client_options *opt)
{
	opt->ctx = e;
	opt->result = target_result_cb;
}

static void peer_up_cb(void *ctx, const struct syc_instance *peer)
{
	struct entry *e = ctx;
	struct syc_bytes head = {peer, sizeof(*peer)};

	log_info("peer_up", LOG_S("task", "peers"), LOG_S("peer", peer->name),
		 LOG_U("id", peer->id));
	mailbox_post(&e->to_core, MAIL_PEER_UP, peer->id, head, no_bytes);
}

static void peer_down_cb(void *ctx, uint64_t peer)
{
	struct entry *e = ctx;

	log_info("peer_down", LOG_S("task", "peers"), LOG_U("id", peer));
	mailbox_post(&e->to_core, MAIL_PEER_DOWN, peer, no_bytes, no_bytes);
}

static void peer_receive_cb(void *ctx, uint64_t from, struct syc_bytes msg)
{
	struct entry *e = ctx;

	mailbox_post(&e->to_core, MAIL_PEER_MESSAGE, from, msg, no_bytes);
}

static void peer_rejected_cb(void *ctx, const char *addr, const char *why)
{
	log_warn("peer_rejected", LOG_S("task", "peers"), LOG_S("addr", addr),
		 LOG_S("why", why));
}

void entry_mail_set_peer_callbacks(struct entry *e,
				   struct peer_links_options *opt)
{
	opt->ctx = e;
	opt->up = peer_up_cb;
	opt->down = peer_down_cb;
	opt->receive = peer_receive_cb;
	opt->rejected = peer_rejected_cb;
}

static void deliver_caller_request(struct entry *e, const struct mail *m)
{
	struct syc_bytes msg = {m->payload, m->len};
	struct job_request req;
	struct wire_in w;
	int64_t now = entry_now();

	invariant(job_request_unpack(&w, msg, &req));
	if (req.action == JOB_CANCEL)
		syc_core_cancel(e->core, now, m->id, req.caller, req.key);
	else if (req.action == JOB_QUERY)
		syc_core_query(e->core, now, m->id, req.caller, req.key);
	else
		syc_core_submit(e->core, now, m->id, *req.key ? req.key : NULL,
				&req.spec);
	job_request_free(&w, &req);
}

static void deliver_result(struct entry *e, const struct mail *m)
{
	struct result_mail head;
	struct syc_send_result res;

	memcpy(&head, m->payload, sizeof(head));
	res.end = head.end;
	res.status = head.status;
	res.body.p = m->payload + sizeof(head);
	res.body.n = m->len - sizeof(head);
	syc_core_result(e->core, entry_now(), m->id, &res);
}

static void deliver_peer_message(struct entry *e, const struct mail *m)
{
	struct syc_bytes msg = {m->payload, m->len};

	if (!syc_core_receive(e->core, entry_now(), m->id, msg))
		log_warn("bad_message", LOG_S("task", "core"),
			 LOG_U("peer", m->id));
}

static void deliver_to_core(void *ctx, const struct mail *m)
{
	struct entry *e = ctx;
	struct syc_instance peer;

	switch (m->type) {
	case MAIL_SUBMIT:
		deliver_caller_request(e, m);
		return;
	case MAIL_RESULT:
		deliver_result(e, m);
		return;
	case MAIL_PEER_UP:
		memcpy(&peer, m->payload, sizeof(peer));
		syc_core_peer_up(e->core, entry_now(), &peer);
		return;
	case MAIL_PEER_DOWN:
		syc_core_peer_down(e->core, entry_now(), m->id);
		return;
	case MAIL_PEER_MESSAGE:
		deliver_peer_message(e, m);
		return;
	default:
		invariant(
			!"a message of a type that the core does not receive");
	}
}

static void deliver_to_callers(void *ctx, const struct mail *m)
{
	struct syc_bytes msg = {m->payload, m->len};
	struct entry *e = ctx;
	struct job_answer a;
	struct wire_in w;

	invariant(job_answer_unpack(&w, msg, &a));
	if (*a.state)
		caller_server_answer_state(e->callers, m->id, a.state,
					   &a.answer);
	else
		caller_server_answer(e->callers, m->id, &a.answer);
	job_answer_free(&w, &a);
}

static void deliver_to_targets(void *ctx, const struct mail *m)
{
	struct entry *e = ctx;
	struct start_mail head;
	struct syc_start start = {.id = m->id};

	if (m->type == MAIL_STOP) {
		target_client_stop(e->targets, m->id);
		return;
	}
	memcpy(&head, m->payload, sizeof(head));
	start.target = &head.target;
	start.service = &head.service;
	start.kind = head.kind;
	start.caller = head.caller;
	start.task = head.task;
	start.attempt = head.attempt;
	start.time_limit_ms = head.time_limit_ms;
	start.body.p = m->payload + sizeof(head);
	start.body.n = m->len - sizeof(head);
	target_client_start(e->targets, &start, head.epoch);
}

void entry_mail_init(struct entry *e)
{
	mailbox_init(&e->to_core, e->loop, deliver_to_core, e);
	mailbox_init(&e->to_callers, e->loop, deliver_to_callers, e);
	mailbox_init(&e->to_targets, e->loop, deliver_to_targets, e);
}

void entry_mail_free(struct entry *e)
{
	mailbox_free(&e->to_core);
	mailbox_free(&e->to_callers);
	mailbox_free(&e->to_targets);
}
