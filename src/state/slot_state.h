/*
 * The state behind slot grants. A link joins this instance to one peer over
 * one service, in both roles: as holder of the peer's slots and as owner of
 * slots that the peer holds.
 */
#ifndef STATE_SLOT_STATE_H
#define STATE_SLOT_STATE_H

#include "state/heap.h"
#include "util/list.h"
#include "state/slot_msgs.h"
#include "sycamoreshore/dispatch.h"

enum {
	LEASE_MS = 3000, /* of a grant, from the holder's ask */
	LEASE_SLACK_MS = 100, /* that the owner adds for clock drift */
	RENEW_MS = 1000, /* between asks of a holder with grants */
	WANT_MS = 300, /* between asks of a holder that waits */
	ASK_GAP_MS = 20, /* least time between two asks */
	GRANT_GAP_MS = 50, /* between grant messages that answer no ask */
	WANT_TTL_MS = 1000, /* after which a want is forgotten */
	OWNERS_ASKED = 2, /* at once, by one holder that waits */
	RETURN_GAP_MS = 100, /* between two messages that give slots back */
	IDLE_RETURN_MS = 100, /* after which an idle grant goes back */
	GRANT_CHARGE_MS = 200, /* charged ahead for a grant */
	SHARE_MS = 100, /* between two looks at the division of slots */
	SLOTS_WON_MS = 1000, /* over which the slots that we get are smoothed */
	MAP_SPREAD_MS = 3000, /* in which every instance learns a map */
	HANDOVER_RETRY_MS = 300,
	LINK_IDLE_MS = 60000 /* after which an unused link is dropped */
};

struct pool;
struct flow;
struct target;
struct link;

/* What a peer wants and has of our slots for one caller. */
struct demand {
	struct list in_link;
	struct list in_flow;
	struct link *link;
	struct flow *flow;
	uint32_t want; /* tasks */
	uint32_t held; /* slots */
	uint32_t bound; /* slots that it may keep; UINT32_MAX: all */
	uint32_t told; /* the bound that it was last told of */
	uint32_t cpus;
	uint32_t memory_mb;
	uint32_t accelerators;
};

/* A grant that we gave. */
struct granted {
	uint64_t id;
	uint64_t holder; /* instance */
	struct link *link; /* NULL: taken over from an earlier owner */
	struct demand *demand; /* NULL likewise */
	struct target *target;
	uint32_t width; /* slots */
	uint64_t number; /* of the message that told of it */
	uint32_t limit_ms; /* longest that a task on it may run */
	bool lapsed; /* the lease is over, a task may still run */
	bool seen; /* named in the ask at hand */
	bool fresh; /* not yet told */
	struct heap_node timer;
	struct list in_link;
};

/* What we hold of a peer's slots for one caller. */
struct holding {
	struct list in_link;
	struct link *link;
	struct flow *flow;
	uint32_t n; /* grants */
	uint32_t bound; /* that we may keep; UINT32_MAX: all */
	uint32_t want; /* tasks that the peer was last asked for */
	uint32_t place; /* in the ask being written */
};

/* A grant that we hold. */
struct held {
	uint64_t id;
	struct link *link;
	struct holding *holding;
	struct target *target;
	uint32_t width; /* slots */
	uint64_t learned; /* number of our last ask before it came */
	int64_t expiry; /* no task starts on it from then on */
	bool dead; /* not to be used again */
	uint64_t send; /* that runs on it; zero: idle */
	int64_t idle_since;
	struct list in_link;
	struct list idle;
};

struct link {
	uint64_t handle;
	uint64_t peer;
	struct pool *pool;
	int64_t used_at;
	/* As holder of the peer's slots. */
	uint64_t ask_seq;
	int64_t asked_at;
	uint64_t seen; /* number of the last grant message */
	uint32_t free_hint; /* slots that the peer had left */
	uint32_t slots; /* of listed targets that the peer owns */
	uint64_t weight; /* in the division of what waits */
	uint32_t asked; /* tasks wanted in the last ask, less what came */
	uint32_t n_held;
	struct list held;
	struct list holdings;
	struct buf returns; /* uint64_t: ids to give back */
	struct buf bad; /* of these, on targets that failed */
	int64_t returned_at;
	bool ask_due;
	/* As owner of slots that the peer holds. */
	uint64_t last_seq;
	uint64_t echo_seq;
	int64_t echo_time;
	int64_t heard_at;
	uint64_t number; /* of the last grant message sent */
	uint32_t limit_ms;
	uint32_t n_granted;
	struct list granted;
	struct list demands;
	struct buf dropped; /* uint64_t: ids of the last ask, not renewed */
	int64_t told_at; /* when it was last sent grants */
	bool reply_due;
};

struct syc_dispatch;

/* slot_link.c */
struct link *link_get(struct syc_dispatch *d, int64_t now, struct pool *p,
		      uint64_t peer);
struct link *link_find(const struct syc_dispatch *d, const struct pool *p,
		       uint64_t peer);
void links_sweep(struct syc_dispatch *d, int64_t now);
void links_free(struct syc_dispatch *d);

/* slot_owner.c: slots of our targets, granted to others. */
bool owner_take_ask(struct syc_dispatch *d, int64_t now, uint64_t from,
		    struct syc_bytes msg);
bool owner_take_return(struct syc_dispatch *d, int64_t now, uint64_t from,
		       struct syc_bytes msg);
/* Grants one slot for the want `dm`; false when no target has room. */
bool owner_grant(struct syc_dispatch *d, int64_t now, struct demand *dm);
void owner_release(struct syc_dispatch *d, struct granted *g);
struct granted *owner_find(const struct syc_dispatch *d, uint64_t id);
/* Counts a grant in that an earlier owner gave. */
void owner_adopt(struct syc_dispatch *d, int64_t now, struct target *t,
		 const struct slot_busy *busy);
/* The want of `f` that is served least; NULL when nobody wants. */
struct demand *owner_next(const struct flow *f);
void owner_tick(struct syc_dispatch *d, int64_t now);
void owner_free(struct syc_dispatch *d);
void owner_peer_gone(struct syc_dispatch *d, struct link *l);

/* slot_reply.c: what an owner tells its holders. */
void owner_reply(struct syc_dispatch *d, int64_t now, struct link *l);
/* Sends what is due and not held back to be sent with more. */
void owner_flush(struct syc_dispatch *d, int64_t now);

/* slot_share.c: how our slots are divided while they are short. */
void share_tick(struct syc_dispatch *d, int64_t now, struct pool *p);

/* slot_holder.c: slots of others' targets, granted to us. */
bool holder_take_grant(struct syc_dispatch *d, int64_t now, uint64_t from,
		       struct syc_bytes msg);
/* What we hold of `l` for one caller, made when there is none. */
struct holding *holder_holding(struct link *l, struct flow *f);
bool holder_usable(const struct held *h, int64_t now);
void holder_use(struct syc_dispatch *d, struct held *h, struct flow *f,
		uint64_t send);
void holder_idle(struct syc_dispatch *d, int64_t now, struct held *h);
void holder_tick(struct syc_dispatch *d, int64_t now);
struct held *holder_find(const struct syc_dispatch *d, const struct pool *p,
			 uint64_t id);

/* slot_want.c: asks owners for slots when tasks wait that find none. */
void holder_want(struct syc_dispatch *d, int64_t now, struct pool *p);
void holder_ask(struct syc_dispatch *d, int64_t now, struct link *l);

/* slot_handover.c: targets that change their owner. */
void handover_tick(struct syc_dispatch *d, int64_t now);
bool handover_take_ask(struct syc_dispatch *d, int64_t now, uint64_t from,
		       struct syc_bytes msg);
bool handover_take(struct syc_dispatch *d, int64_t now, uint64_t from,
		   struct syc_bytes msg);
/* The owner of `t` is now `owner`. */
void handover_owner(struct syc_dispatch *d, int64_t now, struct target *t,
		    uint64_t owner);

#endif
