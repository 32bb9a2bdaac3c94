/*
 * Messages about slots between a holder, which uses slots of targets that
 * another instance owns, and the owner, which grants them.
 *
 * A request states everything that the holder has and wants, so the next one
 * makes up for one that is lost. A grant message renews the grants that the
 * request named, adds new ones and sets quotas. A return gives slots back
 * before their lease ends. A handover reply lists for the new owner of a
 * target the slots that are in use on it.
 *
 * A reader accepts a whole message or nothing. Lists are buffers of the item
 * types named beside them; SLOT_COUNT counts the items.
 */
#ifndef STATE_SLOT_MSGS_H
#define STATE_SLOT_MSGS_H

#include "protocol/wire.h"
#include "sycamoreshore/types.h"
#include "util/buf.h"

enum {
	SLOT_IDS_MAX = 8192, /* grants in one message */
	SLOT_CALLERS_MAX = 1024, /* callers in one message */
	SLOT_TARGETS_MAX = 512 /* targets in one handover message */
};

/* The first field of a request or a grant message. */
enum slot_op { SLOT_OP_SLOTS = 0, SLOT_OP_HANDOVER = 1 };

/* What the holder wants for one caller. */
struct slot_demand {
	char caller[SYC_NAME_MAX];
	uint32_t tasks; /* number of its waiting tasks */
	/* Size of the first of these tasks. */
	uint32_t cpus;
	uint32_t memory_mb;
	uint32_t accelerators;
};

/* One grant that the holder has. */
struct slot_held {
	uint64_t id;
	uint32_t demand_index; /* of its caller in the list of demands */
};

struct slot_request {
	char service[SYC_NAME_MAX];
	uint64_t seq; /* counts requests and returns of one holder */
	uint64_t grant_seq; /* of the last grant message received */
	int64_t sent_at; /* by the holder's clock */
	uint32_t time_limit_ms; /* longest run of a task */
	struct buf demands; /* struct slot_demand */
	struct buf held; /* struct slot_held */
};

/* One or several granted slots of one target. */
struct slot_new_grant {
	uint64_t id;
	uint32_t width; /* slots */
	char target[SYC_NAME_MAX];
	char caller[SYC_NAME_MAX];
};

/* The most slots that the holder may keep for one caller. */
struct slot_quota {
	char caller[SYC_NAME_MAX];
	uint32_t slots;
};

struct slot_grant {
	char service[SYC_NAME_MAX];
	uint64_t seq; /* counts grant messages of one owner */
	uint64_t echo_seq; /* of the last request received */
	int64_t echo_sent_at; /* of the last request, by the holder's clock */
	uint32_t slots_free; /* at the owner */
	struct buf not_renewed; /* uint64_t: named, but no longer valid */
	struct buf quotas; /* struct slot_quota */
	struct buf new_grants; /* struct slot_new_grant */
};

struct slot_return {
	char service[SYC_NAME_MAX];
	uint64_t seq; /* counts requests and returns of one holder */
	struct buf ids; /* uint64_t */
	struct buf failed_ids; /* uint64_t: of these, on failing targets */
};

/* The name of a target in a list. */
struct slot_target_name {
	char name[SYC_NAME_MAX];
};

struct slot_handover_request {
	char service[SYC_NAME_MAX];
	uint64_t nonce; /* repeated in the reply */
	struct buf targets; /* struct slot_target_name */
};

/* Slots in use on one target. */
struct slot_busy {
	uint64_t id; /* of the grant */
	uint64_t holder; /* instance */
	uint32_t target_index; /* in the list of targets */
	uint32_t width; /* slots */
	uint32_t left_ms; /* after which they are free in any case */
};

struct slot_handover_target {
	char name[SYC_NAME_MAX];
	bool lists_busy; /* the sender was its owner and lists its busy slots */
	uint32_t uncertain_ms; /* for which further slots may be in use */
};

struct slot_handover_reply {
	char service[SYC_NAME_MAX];
	uint64_t nonce; /* of the request */
	struct buf targets; /* struct slot_handover_target */
	struct buf busy; /* struct slot_busy */
};

#define SLOT_COUNT(list, type) ((list)->len / sizeof(type))
#define SLOT_LIST(list, type) ((type *)(void *)(list)->data)

/* Writers start the message in `w`; the caller frees it with wire_free. */
void slot_request_write(struct wire_out *w, const struct slot_request *m);
void slot_grant_write(struct wire_out *w, const struct slot_grant *m);
void slot_return_write(struct wire_out *w, const struct slot_return *m);
void slot_handover_request_write(struct wire_out *w,
				 const struct slot_handover_request *m);
void slot_handover_reply_write(struct wire_out *w,
			       const struct slot_handover_reply *m);

/* The operation of a request or grant message; -1: an unknown one. */
int slot_message_op(struct syc_bytes msg);

/*
 * Readers return false for an invalid message. The caller frees `m` with
 * slot_*_free, also after a failure.
 */
bool slot_request_read(struct syc_bytes msg, struct slot_request *m);
bool slot_grant_read(struct syc_bytes msg, struct slot_grant *m);
bool slot_return_read(struct syc_bytes msg, struct slot_return *m);
bool slot_handover_request_read(struct syc_bytes msg,
				struct slot_handover_request *m);
bool slot_handover_reply_read(struct syc_bytes msg,
			      struct slot_handover_reply *m);

void slot_request_free(struct slot_request *m);
void slot_grant_free(struct slot_grant *m);
void slot_return_free(struct slot_return *m);
void slot_handover_request_free(struct slot_handover_request *m);
void slot_handover_reply_free(struct slot_handover_reply *m);

#endif
