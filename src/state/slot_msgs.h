/*
 * Messages about slots between a holder, who uses slots of targets that
 * another instance owns, and the owner, who grants them.
 *
 * An ask states all that the holder has and wants, so that one that is lost
 * is made up for by the next. A grant message renews what the ask named,
 * adds slots and bounds what the holder may keep. A return gives slots back
 * early. A handover tells the new owner of a target what is busy on it.
 *
 * Readers take a whole message or nothing. Lists are buffers of the item
 * types named beside them; SLOT_COUNT counts them.
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

/* The first field of an ask or a grant message. */
enum slot_op { SLOT_OP_SLOTS = 0, SLOT_OP_HANDOVER = 1 };

/* What the holder wants for one caller. */
struct slot_want {
	char caller[SYC_NAME_MAX];
	uint32_t want; /* tasks that wait */
	uint32_t cpus; /* of the first of them */
	uint32_t memory_mb;
	uint32_t accelerators;
};

/* One grant that the holder has. */
struct slot_held {
	uint64_t id;
	uint32_t want; /* place of its caller in the list of wants */
};

struct slot_ask {
	char service[SYC_NAME_MAX];
	uint64_t seq; /* counts asks and returns of one holder */
	uint64_t seen; /* number of the last grant message received */
	int64_t time; /* of the holder, in its own ms */
	uint32_t limit_ms; /* longest that a task may run */
	struct buf wants; /* struct slot_want */
	struct buf held; /* struct slot_held */
};

/* One granted slot, or several on one target. */
struct slot_new {
	uint64_t id;
	uint32_t width; /* slots */
	char target[SYC_NAME_MAX];
	char caller[SYC_NAME_MAX];
};

/* The most grants that the holder may keep for one caller. */
struct slot_bound {
	char caller[SYC_NAME_MAX];
	uint32_t n;
};

struct slot_grant {
	char service[SYC_NAME_MAX];
	uint64_t number; /* counts grant messages of one owner */
	uint64_t echo_seq; /* of the last ask received */
	int64_t echo_time;
	uint32_t free; /* slots that the owner has left */
	struct buf dropped; /* uint64_t: ids that are not renewed */
	struct buf bounds; /* struct slot_bound */
	struct buf fresh; /* struct slot_new */
};

struct slot_return {
	char service[SYC_NAME_MAX];
	uint64_t seq;
	struct buf ids; /* uint64_t */
	struct buf bad; /* uint64_t: of these, on targets that failed */
};

/* A target's name in a list. */
struct slot_name {
	char name[SYC_NAME_MAX];
};

struct slot_handover_ask {
	char service[SYC_NAME_MAX];
	uint64_t nonce; /* comes back in the answer */
	struct buf targets; /* struct slot_name */
};

/* What is busy on one target. */
struct slot_busy {
	uint64_t id;
	uint64_t holder; /* instance */
	uint32_t target; /* place in the list of targets */
	uint32_t width;
	uint32_t left_ms; /* after which it is free whatever happens */
};

struct slot_handed {
	char name[SYC_NAME_MAX];
	bool sure; /* from the owner before, who lists what is busy */
	uint32_t unsure_ms; /* more may be busy for as long */
};

struct slot_handover {
	char service[SYC_NAME_MAX];
	uint64_t nonce;
	struct buf targets; /* struct slot_handed */
	struct buf busy; /* struct slot_busy */
};

#define SLOT_COUNT(list, type) ((list)->len / sizeof(type))
#define SLOT_LIST(list, type) ((type *)(void *)(list)->data)

/* Writers begin the message in `w`; end it with wire_free. */
void slot_ask_write(struct wire_out *w, const struct slot_ask *m);
void slot_grant_write(struct wire_out *w, const struct slot_grant *m);
void slot_return_write(struct wire_out *w, const struct slot_return *m);
void slot_handover_ask_write(struct wire_out *w,
			     const struct slot_handover_ask *m);
void slot_handover_write(struct wire_out *w, const struct slot_handover *m);

/* The operation of an ask or grant message; -1 when it is none. */
int slot_op(struct syc_bytes msg);

/* Readers; free what they gave with slot_*_free, also after a failure. */
bool slot_ask_read(struct syc_bytes msg, struct slot_ask *m);
bool slot_grant_read(struct syc_bytes msg, struct slot_grant *m);
bool slot_return_read(struct syc_bytes msg, struct slot_return *m);
bool slot_handover_ask_read(struct syc_bytes msg, struct slot_handover_ask *m);
bool slot_handover_read(struct syc_bytes msg, struct slot_handover *m);

void slot_ask_free(struct slot_ask *m);
void slot_grant_free(struct slot_grant *m);
void slot_return_free(struct slot_return *m);
void slot_handover_ask_free(struct slot_handover_ask *m);
void slot_handover_free(struct slot_handover *m);

#endif
