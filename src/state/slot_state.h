/*
 * The state of slot grants between instances. The owner of a target grants
 * slots of it to holders on request. A slot peer is one peer for one service.
 * It keeps both roles of this instance: holder of the peer's slots, and owner
 * of slots that the peer holds.
 */
#ifndef STATE_SLOT_STATE_H
#define STATE_SLOT_STATE_H

#include "state/heap.h"
#include "util/list.h"
#include "state/slot_msgs.h"
#include "sycamoreshore/dispatch.h"

enum {
	LEASE_MS = 3000, /* of a grant, from the time of the holder's request */
	LEASE_SLACK_MS = 100, /* that the owner adds for clock drift */
	RENEW_INTERVAL_MS = 1000, /* between requests of a holder with grants */
	/* Between requests of a holder whose waiting tasks do not increase. */
	REQUEST_INTERVAL_MS = 300,
	REQUEST_GAP_MS = 20, /* least time between two requests */
	/* Least time between grant messages that answer no request. */
	GRANT_GAP_MS = 50,
	DEMAND_TTL_MS = 1000, /* after which an owner drops a demand */
	/* Owners that receive a request while the free slots do not suffice. */
	BUSY_OWNERS_REQUESTED = 2,
	RETURN_GAP_MS = 100, /* least time between two return messages */
	IDLE_RETURN_MS = 100, /* after which an idle grant is returned */
	GRANT_CHARGE_MS = 200, /* charged to the caller in advance per slot */
	DIVISION_INTERVAL_MS = 100, /* between two divisions of the slots */
	/* Time constant of the mean of the slots that a pool obtains. */
	SLOTS_OBTAINED_MEAN_MS = 1000,
	MAP_SPREAD_MS = 3000, /* in which every instance receives a map */
	HANDOVER_RETRY_MS = 300,
	SLOT_PEER_IDLE_MS = 60000 /* after which an unused one is dropped */
};

struct pool;
struct flow;
struct target;
struct slot_peer;

/* What a peer wants and holds of this instance's slots for one caller. */
struct demand {
	struct list peer_node;
	struct list flow_node;
	struct slot_peer *slot_peer;
	struct flow *flow;
	uint32_t wanted_tasks; /* that wait at the peer */
	uint32_t held_slots;
	uint32_t quota; /* slots that it may keep; UINT32_MAX: no limit */
	uint32_t prev_quota; /* of the previous division */
	/* Size of the first of the tasks; zero: not stated. */
	uint32_t cpus;
	uint32_t memory_mb;
	uint32_t accelerators;
};

/* A grant that this instance counts as owner. */
struct issued_grant {
	uint64_t id;
	uint64_t holder; /* instance */
	/* Both are NULL for a grant that an earlier owner issued. */
	struct slot_peer *slot_peer;
	struct demand *demand;
	struct target *target;
	uint32_t width; /* slots */
	uint64_t grant_seq; /* of the message that carries it first */
	uint32_t time_limit_ms; /* longest run of a task on it */
	bool is_expired; /* the lease has ended, a task may still run */
	bool is_named; /* in the request being handled */
	bool is_unsent; /* in no grant message yet */
	struct heap_node timer; /* end of the lease, then of the time limit */
	struct list peer_node;
};

/* What this instance holds and wants of a peer's slots for one caller. */
struct holding {
	struct list peer_node;
	struct slot_peer *slot_peer;
	struct flow *flow;
	uint32_t held_slots;
	uint32_t quota; /* slots that it may keep; UINT32_MAX: no limit */
	uint32_t wanted_tasks; /* in the last request to the peer */
	uint32_t request_index; /* in the request being written */
};

/* A grant that this instance holds. */
struct held_grant {
	uint64_t id;
	struct slot_peer *slot_peer;
	struct holding *holding;
	struct target *target;
	uint32_t width; /* slots */
	uint64_t request_seq; /* of the last request sent before it came */
	int64_t expires_at; /* no task starts on it from then on */
	bool is_revoked; /* no further task may start on it */
	uint64_t send_id; /* that runs on it; zero: idle */
	int64_t idle_since;
	struct list peer_node;
	struct list idle_node;
};

struct slot_peer {
	uint64_t handle;
	uint64_t peer;
	struct pool *pool;
	int64_t used_at;
	/* As holder of the peer's slots. */
	uint64_t request_seq_sent;
	int64_t request_sent_at;
	uint64_t grant_seq_received;
	uint32_t peer_slots_free; /* as the last grant message stated */
	uint32_t peer_slots; /* of listed targets that the peer owns */
	uint64_t weight; /* in the division of waiting tasks over owners */
	uint32_t requested_tasks; /* in the last request, less new grants */
	uint32_t n_held;
	struct list held_grants;
	struct list holdings;
	struct buf returned_ids; /* uint64_t: grants to return */
	struct buf failed_ids; /* uint64_t: of these, on failing targets */
	int64_t return_sent_at;
	bool is_request_due;
	/* As owner of slots that the peer holds. */
	uint64_t request_seq_received;
	uint64_t echo_seq; /* of the last request, for the reply */
	int64_t echo_sent_at; /* of that request, by the peer's clock */
	int64_t request_received_at;
	uint64_t grant_seq_sent;
	uint32_t time_limit_ms; /* longest run of a task, by the peer */
	uint32_t n_issued;
	struct list issued_grants;
	struct list demands;
	/* uint64_t: grants in the last request that are no longer valid. */
	struct buf not_renewed;
	int64_t grant_sent_at;
	bool is_reply_due;
};

struct syc_dispatch;

/* slot_peer.c */
/* The slot peer, added when there is none; NULL: too many slot peers. */
struct slot_peer *slot_peer_get(struct syc_dispatch *d, int64_t now,
				struct pool *p, uint64_t peer);
/* The slot peer, or NULL. */
struct slot_peer *slot_peer_find(const struct syc_dispatch *d,
				 const struct pool *p, uint64_t peer);
/* Drops slot peers that are unused for SLOT_PEER_IDLE_MS. */
void slot_peers_drop_idle(struct syc_dispatch *d, int64_t now);
void slot_peers_free(struct syc_dispatch *d);

/*
 * slot_owner.c: slots of owned targets, granted to others. The functions that
 * receive a message return false when it is invalid.
 */
bool owner_receive_request(struct syc_dispatch *d, int64_t now, uint64_t from,
			   struct syc_bytes msg);
bool owner_receive_return(struct syc_dispatch *d, int64_t now, uint64_t from,
			  struct syc_bytes msg);
/* Grants the slots of one task; false when no target has enough free. */
bool owner_grant_slots(struct syc_dispatch *d, int64_t now,
		       struct demand *demand);
void owner_release_grant(struct syc_dispatch *d, struct issued_grant *g);
struct issued_grant *owner_find_grant(const struct syc_dispatch *d,
				      uint64_t id);
/* Counts a grant that an earlier owner issued. */
void owner_take_over_grant(struct syc_dispatch *d, int64_t now,
			   struct target *t, const struct slot_busy *busy);
/* The demand for `f` that is met least; NULL when there is none. */
struct demand *owner_next_demand(const struct flow *f);
void owner_tick(struct syc_dispatch *d, int64_t now);
void owner_free(struct syc_dispatch *d);
/* Clears the wanted tasks of a dropped peer. */
void owner_clear_demands(struct syc_dispatch *d, struct slot_peer *sp);

/* slot_reply.c: grant messages from an owner to its holders. */
void owner_send_grants(struct syc_dispatch *d, int64_t now,
		       struct slot_peer *sp);
/*
 * Sends due grant messages, at most one per GRANT_GAP_MS to each slot peer, so
 * that one message carries several grants.
 */
void owner_send_due_grants(struct syc_dispatch *d, int64_t now);

/* slot_share.c: divides owned slots while they are short. */
void share_tick(struct syc_dispatch *d, int64_t now, struct pool *p);

/* slot_holder.c: slots of other owners' targets, granted to this instance. */
bool holder_receive_grants(struct syc_dispatch *d, int64_t now, uint64_t from,
			   struct syc_bytes msg);
/* The holding of `sp` for one caller, made when there is none. */
struct holding *holder_get_holding(struct slot_peer *sp, struct flow *f);
/* Whether a task may start on the grant. */
bool holder_is_usable(const struct held_grant *h, int64_t now);
/* Assigns an idle grant to a send of `f`. */
void holder_use_grant(struct syc_dispatch *d, struct held_grant *h,
		      struct flow *f, uint64_t send_id);
/* Makes the grant idle after its send; returns a revoked or expired one. */
void holder_end_use(struct syc_dispatch *d, int64_t now, struct held_grant *h);
void holder_tick(struct syc_dispatch *d, int64_t now);
/* The held grant `id`, or NULL. */
struct held_grant *holder_find_grant(const struct syc_dispatch *d,
				     const struct pool *p, uint64_t id);

/* slot_request.c: requests slots from owners while tasks wait. */
void holder_request_slots(struct syc_dispatch *d, int64_t now, struct pool *p);
/* Sends a request that states all slots held and wanted of the peer. */
void holder_send_request(struct syc_dispatch *d, int64_t now,
			 struct slot_peer *sp);

/* slot_handover.c: moves targets from one owner to another. */
void handover_tick(struct syc_dispatch *d, int64_t now);
bool handover_receive_request(struct syc_dispatch *d, int64_t now,
			      uint64_t from, struct syc_bytes msg);
bool handover_receive_reply(struct syc_dispatch *d, int64_t now, uint64_t from,
			    struct syc_bytes msg);
/* Sets the owner of `t`. */
void handover_set_owner(struct syc_dispatch *d, int64_t now, struct target *t,
			uint64_t owner);

#endif
