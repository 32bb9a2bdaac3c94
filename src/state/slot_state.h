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
	RENEW_INTERVAL_MS = 1000, /* between asks of a holder with grants */
	REQUEST_INTERVAL_MS = 300, /* between asks of a holder that waits */
	REQUEST_GAP_MS = 20, /* least time between two asks */
	GRANT_GAP_MS = 50, /* between grant messages that answer no ask */
	DEMAND_TTL_MS = 1000, /* after which a want is forgotten */
	BUSY_OWNERS_REQUESTED = 2, /* at once, by one holder that waits */
	RETURN_GAP_MS = 100, /* between two messages that give slots back */
	IDLE_RETURN_MS = 100, /* after which an idle grant goes back */
	GRANT_CHARGE_MS = 200, /* charged ahead for a grant */
	DIVISION_INTERVAL_MS =
		100, /* between two looks at the division of slots */
	SLOTS_OBTAINED_MEAN_MS =
		1000, /* over which the slots that we get are smoothed */
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
	struct list link_node;
	struct list flow_node;
	struct link *link;
	struct flow *flow;
	uint32_t wanted_tasks; /* tasks */
	uint32_t held_slots; /* slots */
	uint32_t quota; /* slots that it may keep; UINT32_MAX: all */
	uint32_t notified_quota; /* the bound that it was last told of */
	uint32_t cpus;
	uint32_t memory_mb;
	uint32_t accelerators;
};

/* A grant that we gave. */
struct issued_grant {
	uint64_t id;
	uint64_t holder; /* instance */
	struct link *link; /* NULL: taken over from an earlier owner */
	struct demand *demand; /* NULL likewise */
	struct target *target;
	uint32_t width; /* slots */
	uint64_t grant_seq; /* of the message that told of it */
	uint32_t time_limit_ms; /* longest that a task on it may run */
	bool is_expired; /* the lease is over, a task may still run */
	bool is_renewed; /* named in the ask at hand */
	bool is_unsent; /* not yet told */
	struct heap_node timer;
	struct list link_node;
};

/* What we hold of a peer's slots for one caller. */
struct holding {
	struct list link_node;
	struct link *link;
	struct flow *flow;
	uint32_t held_slots; /* grants */
	uint32_t quota; /* that we may keep; UINT32_MAX: all */
	uint32_t wanted_tasks; /* tasks that the peer was last asked for */
	uint32_t request_index; /* in the ask being written */
};

/* A grant that we hold. */
struct held_grant {
	uint64_t id;
	struct link *link;
	struct holding *holding;
	struct target *target;
	uint32_t width; /* slots */
	uint64_t request_seq; /* number of our last ask before it came */
	int64_t expires_at; /* no task starts on it from then on */
	bool is_revoked; /* not to be used again */
	uint64_t send_id; /* that runs on it; zero: idle */
	int64_t idle_since;
	struct list link_node;
	struct list idle_node;
};

struct link {
	uint64_t handle;
	uint64_t peer;
	struct pool *pool;
	int64_t used_at;
	/* As holder of the peer's slots. */
	uint64_t request_seq_sent;
	int64_t request_sent_at;
	uint64_t grant_seq_received; /* number of the last grant message */
	uint32_t peer_slots_free; /* slots that the peer had left */
	uint32_t peer_slots; /* of listed targets that the peer owns */
	uint64_t weight; /* in the division of what waits */
	uint32_t
		requested_tasks; /* tasks wanted in the last ask, less what came */
	uint32_t n_held;
	struct list held_grants;
	struct list holdings;
	struct buf returned_ids; /* uint64_t: ids to give back */
	struct buf failed_ids; /* of these, on targets that failed */
	int64_t return_sent_at;
	bool is_request_due;
	/* As owner of slots that the peer holds. */
	uint64_t request_seq_received;
	uint64_t echo_seq;
	int64_t echo_sent_at;
	int64_t request_received_at;
	uint64_t grant_seq_sent; /* of the last grant message sent */
	uint32_t time_limit_ms;
	uint32_t n_issued;
	struct list issued_grants;
	struct list demands;
	struct buf not_renewed; /* uint64_t: ids of the last ask, not renewed */
	int64_t grant_sent_at; /* when it was last sent grants */
	bool is_reply_due;
};

struct syc_dispatch;

/* slot_link.c */
struct link *link_get(struct syc_dispatch *d, int64_t now, struct pool *p,
		      uint64_t peer);
struct link *link_find(const struct syc_dispatch *d, const struct pool *p,
		       uint64_t peer);
void links_drop_idle(struct syc_dispatch *d, int64_t now);
void links_free(struct syc_dispatch *d);

/* slot_owner.c: slots of our targets, granted to others. */
bool owner_receive_request(struct syc_dispatch *d, int64_t now, uint64_t from,
			   struct syc_bytes msg);
bool owner_receive_return(struct syc_dispatch *d, int64_t now, uint64_t from,
			  struct syc_bytes msg);
/* Grants one slot for the want `dm`; false when no target has room. */
bool owner_grant_slots(struct syc_dispatch *d, int64_t now, struct demand *dm);
void owner_release_grant(struct syc_dispatch *d, struct issued_grant *g);
struct issued_grant *owner_find_grant(const struct syc_dispatch *d,
				      uint64_t id);
/* Counts a grant in that an earlier owner gave. */
void owner_take_over_grant(struct syc_dispatch *d, int64_t now,
			   struct target *t, const struct slot_busy *busy);
/* The want of `f` that is served least; NULL when nobody wants. */
struct demand *owner_next_demand(const struct flow *f);
void owner_tick(struct syc_dispatch *d, int64_t now);
void owner_free(struct syc_dispatch *d);
void owner_forget_demands(struct syc_dispatch *d, struct link *l);

/* slot_reply.c: what an owner tells its holders. */
void owner_send_grants(struct syc_dispatch *d, int64_t now, struct link *l);
/* Sends what is due and not held back to be sent with more. */
void owner_send_due_grants(struct syc_dispatch *d, int64_t now);

/* slot_share.c: how our slots are divided while they are short. */
void share_tick(struct syc_dispatch *d, int64_t now, struct pool *p);

/* slot_holder.c: slots of others' targets, granted to us. */
bool holder_receive_grants(struct syc_dispatch *d, int64_t now, uint64_t from,
			   struct syc_bytes msg);
/* What we hold of `l` for one caller, made when there is none. */
struct holding *holder_get_holding(struct link *l, struct flow *f);
bool holder_is_usable(const struct held_grant *h, int64_t now);
void holder_use_grant(struct syc_dispatch *d, struct held_grant *h,
		      struct flow *f, uint64_t send);
void holder_idle_grant(struct syc_dispatch *d, int64_t now,
		       struct held_grant *h);
void holder_tick(struct syc_dispatch *d, int64_t now);
struct held_grant *holder_find_grant(const struct syc_dispatch *d,
				     const struct pool *p, uint64_t id);

/* slot_want.c: asks owners for slots when tasks wait that find none. */
void holder_request_slots(struct syc_dispatch *d, int64_t now, struct pool *p);
void holder_send_request(struct syc_dispatch *d, int64_t now, struct link *l);

/* slot_handover.c: targets that change their owner. */
void handover_tick(struct syc_dispatch *d, int64_t now);
bool handover_receive_request(struct syc_dispatch *d, int64_t now,
			      uint64_t from, struct syc_bytes msg);
bool handover_receive_reply(struct syc_dispatch *d, int64_t now, uint64_t from,
			    struct syc_bytes msg);
/* The owner of `t` is now `owner`. */
void handover_set_owner(struct syc_dispatch *d, int64_t now, struct target *t,
			uint64_t owner);

#endif
