/* State and functions that the files of the fleet share. */
#ifndef FLEET_FLEET_STATE_H
#define FLEET_FLEET_STATE_H

#include "drive/losses.h"
#include "fleet/evacuation.h"
#include "fleet/fleet.h"
#include "fleet/fleet_map.h"
#include "fleet/key_watch.h"
#include "protocol/wire.h"
#include "util/index.h"
#include "util/list.h"
#include "util/log.h"
#include "util/table.h"

enum { LOSSES_LIST_MAX = 128 /* lost runs in one message or value */ };

/* Another instance that this one has or had a link to. */
struct fleet_peer {
	struct syc_instance instance;
	bool link_up;
	bool has_timed_out; /* no heartbeat for long: its jobs are given up */
	int64_t heartbeat_at; /* of the last heartbeat; zero: none yet */
	/* When one came after a silence; what came with it may be old. */
	int64_t heard_again_at;
	int64_t paused_ms; /* pauses of this process since then */
	/* from its last heartbeat */
	uint32_t uptime_ms;
	uint64_t epoch;
	uint64_t driver;
	uint64_t config_version;
	bool leaving;
	bool has_driver; /* it can reach its driver */
	bool drives_domain; /* it drives its failure domain, which is cut off */
	uint32_t capacity; /* starts a second; zero: unknown */
	bool yields; /* it drives until a stronger instance does */
	struct drive_room room; /* of the workers that it drives */
	bool knows_cells; /* its version does */
	bool is_divided; /* it knows that the fleet is divided */
	bool knows_division; /* it was told that this instance does */
	int64_t config_sent_at;
	/* Its `uptime_ms` as it sent it, which it gets back as an echo. */
	uint64_t sent_at_ms;
	bool knows_losses; /* it reads reports of lost runs */
	uint64_t losses_sent; /* the version that it has been sent */
};

/* A job that a caller submitted to this instance. */
struct home_job {
	uint64_t handle; /* the tag that the driver gets */
	uint64_t tag; /* the caller's tag */
	bool submitted; /* to a driver */
	int64_t resubmit_at; /* zero: not to be submitted again yet */
	/*
	 * Its caller has disconnected or has an answer, and the cancellation
	 * may not have reached the driver.
	 */
	bool is_cancelled;
	uint32_t generation;
	uint32_t cell; /* the one that has it, if the driver said so */
	int64_t arrived_at;
	int64_t taken_at; /* by this fleet */
	int64_t deadline_at;
	struct drive_job spec; /* its pointers point into `text` */
	char *text;
};

/* What the driver of another cell passed on about this cell's driver. */
struct driver_report {
	struct syc_instance driver; /* its id is zero: there is no report */
	struct drive_room room;
	int64_t heard_at; /* when that driver was last heard */
};

/* What the driver keeps of lost runs in the store. */
struct losses_store {
	bool loaded; /* since this instance drives */
	bool in_flight; /* a call to the store */
	uint64_t index; /* of the key */
	uint64_t stored; /* version of the losses that was written last */
	uint64_t writing; /* the version that is being written */
	int64_t next_at; /* when the store may be called next */
};

struct fleet {
	struct fleet_options opt;
	/* The undivided fleet, which keeps the configuration for its cells. */
	struct fleet *whole;
	struct drive *drive;
	int64_t started_at;
	int64_t last_event_at;
	int64_t resumed_at; /* the end of the last pause of this process */

	/* election.c */
	uint64_t epoch;
	uint64_t driver; /* of the whole fleet; zero: unknown */
	int64_t driver_lost_at; /* zero: the fleet's driver is reachable */
	int64_t driver_learned_at;
	struct driver_report report;
	int64_t dialled_at; /* the driver, on demand; zero: not yet */
	int64_t drive_began_at; /* when this instance began to drive */

	/* yield.c */
	int64_t yield_began_at;
	int64_t next_yield_at; /* not before */
	/* The driver of our failure domain while it is cut off; zero: none. */
	uint64_t domain_driver;
	/* When the takeover goes on without the store if it does not answer. */
	int64_t takeover_deadline_at;
	int64_t fenced_at; /* zero: no worker refused our fence */

	/* isolated.c */
	int64_t next_probe_at; /* when other domains may be probed again */

	/* map_sync.c */
	struct fleet_map map; /* as last read */
	struct key_watch map_watch;
	struct fleet_map pending_map; /* written by the call in flight */
	int64_t write_sent_at;
	int64_t next_write_at;
	int64_t store_reachable_at; /* when the store was reachable again */
	int64_t member_since; /* in the map; zero: not */
	int64_t outside_since; /* not in the map; zero: in it */
	int64_t next_admit_at; /* when joiners may be added to the map */

	/* heartbeat.c */
	struct fleet_peer *peers;
	size_t n_peers, peers_size;
	int64_t next_heartbeat_at;

	/* home.c */
	struct table jobs; /* of struct home_job */
	size_t n_cancelled; /* of these */
	struct index tags;

	/* workers.c */
	struct drive_worker *workers;
	size_t n_workers;
	int64_t workers_read_at; /* when the last read was sent */
	int64_t next_workers_read_at;
	int64_t workers_failed_at; /* the last failed read */
	int64_t workers_listed_at; /* when the present list was taken over */
	uint64_t workers_sent_epoch; /* in which all peers got the list */

	/* workers_age.c */
	/* The list holds all that the store had then; zero: not known. */
	int64_t workers_confirmed_at;
	uint64_t workers_hash; /* of the list */
	int64_t workers_awaited_until; /* by the drive; zero: it awaits none */

	/* workers_reader.c, at the driver */
	uint64_t read_number; /* of the last request to a reader */
	int64_t reader_answer_due_at; /* zero: no request is open */
	int64_t next_reader_at; /* no reader is asked before */
	/* at the reader */
	uint64_t read_for; /* the driver that waits; zero: none */
	uint64_t read_for_number;
	int64_t read_requested_at;

	/* division.c */
	struct fleet_map wanted_cells; /* its cells; none: no division */

	/* config_sync.c */
	struct key_watch config_watch;
	uint64_t config_version; /* in force; zero: none */
	void *config;
	size_t config_len;

	/* evacuation.c */
	struct evacuations evacuations; /* of the whole fleet alone */
	uint64_t evacuations_told; /* the change that the drive knows */

	int probes_in_flight; /* calls to workers of other domains */
	uint32_t n_yields; /* that no instance took up, in a row */
	/* This instance drives and lets a stronger one take over. */
	bool yielding;
	/* A peer works in a division that this instance has not read yet. */
	bool missed_division;
	bool lost_cells; /* the map in the store lacks them */
	enum key_watch_role role; /* in reading the store; set at each tick */
	bool leaving; /* a planned stop has begun */
	int64_t ends_at; /* its jobs have an answer by then; zero: no limit */
	struct losses_store losses_store;
	bool takeover_in_flight; /* the map's change has no answer yet */
	bool has_probe_answer; /* a worker of another domain was reached */
	bool map_known;
	bool write_in_flight; /* of the map */
	bool store_unreachable;
	bool workers_known;
	bool workers_read_in_flight;
};

/* fleet.c */
/*
 * Must be called first at each event, to detect a pause of this process.
 * Messages that waited in sockets during a pause are older than they appear.
 */
void fleet_detect_pause(struct fleet *f, int64_t now);
/* Tells the home of a job what the driver on this instance made of it. */
void fleet_send_job_done(struct fleet *f, const struct drive_job_done *done);
/* Whether messages that waited during a pause may still arrive. */
bool fleet_is_resuming(const struct fleet *f, int64_t now);

/* fleet.c, of a fleet that drives one cell */
/* Whether an instance of this failure domain may be a member of the fleet. */
bool fleet_is_eligible_domain(const struct fleet *f, const char *domain);
/* Whether this instance may be a member. */
bool fleet_is_eligible(const struct fleet *f);
/*
 * Whether the instance `id` is a member: the map lists it, so it elects the
 * driver and may drive. Until the map is known, every instance counts as a
 * member.
 */
bool fleet_is_member(const struct fleet *f, uint64_t id);
/* What this instance does for the other members in reading the store. */
enum key_watch_role fleet_role(const struct fleet *f, int64_t now);
/* Whether the fleet is divided into cells, so that this one drives nothing. */
bool fleet_is_divided(const struct fleet *f);
/*
 * Whether the fleet is divided and this instance does not know its cells, as
 * the store is unreachable. It must not drive, and its jobs have no driver.
 */
bool fleet_misses_division(const struct fleet *f);
/* Ends the drive and all jobs, as the cells drive the workers from now on. */
void fleet_retire(struct fleet *f, int64_t now);

/* division.c */
/* Decides from the list of workers whether the fleet is to be divided. */
void division_check(struct fleet *f, const struct drive_worker *list, size_t n);

/* heartbeat.c */
/* The peer with this id, or NULL if it was dropped or never had a link. */
const struct fleet_peer *heartbeat_find_peer(const struct fleet *f,
					     uint64_t id);
/* Like heartbeat_find_peer, for changes to the peer. */
struct fleet_peer *heartbeat_get_peer(struct fleet *f, uint64_t id);
bool heartbeat_is_reachable(const struct fleet_peer *p, int64_t now);
/*
 * Whether the peer's last heartbeat is so recent that the peer still receives
 * the heartbeats of this instance, unless the link has just failed.
 */
bool heartbeat_is_recent(const struct fleet_peer *p, int64_t now);
/*
 * Whether the peer has sent a heartbeat in the last time in which this process
 * could have read it. For suspicion only: the peer may have given this instance
 * up during a pause.
 */
bool heartbeat_is_reachable_awake(const struct fleet_peer *p, int64_t now);
/* Notes a pause of this process, in which it read no heartbeats. */
void heartbeat_add_pause(struct fleet *f, int64_t paused_ms);
void heartbeat_tick(struct fleet *f, int64_t now);
void heartbeat_send_all(struct fleet *f, int64_t now);
/* The age of a key's value for peers; zero: it was never confirmed. */
uint64_t heartbeat_get_age_ms(const struct key_watch *w, int64_t now);
/*
 * Converts an age that a peer states into a time on this instance's clock; zero:
 * not known. `echo_ms` is the uptime in the last heartbeat of this instance that
 * the peer had received. The age counts from then, because the peer's message may
 * have been delayed, which must not make its content look newer.
 */
int64_t heartbeat_dated(const struct fleet *f, int64_t echo_ms, int64_t age_ms);
/* Takes over the age that a peer states for a value that both have. */
void heartbeat_accept_age(const struct fleet *f, struct key_watch *w,
			  int64_t echo_ms, int64_t age_ms);
/* Gives up the jobs of peers that sent no heartbeat for too long. */
void heartbeat_check_timeouts(struct fleet *f, int64_t now);
bool heartbeat_receive(struct fleet *f, int64_t now, struct fleet_peer *p,
		       struct syc_bytes msg);

/* election.c */
void election_tick(struct fleet *f, int64_t now);
/* Handles the driver that another instance, or the map, names. */
void election_update_driver(struct fleet *f, int64_t now, uint64_t epoch,
			    uint64_t driver);
bool election_is_driver_reachable(const struct fleet *f, int64_t now);
/* The instance that jobs are submitted to; zero: none is known. */
uint64_t election_get_driver(const struct fleet *f);
/* Whether no driver was reachable for longer than a takeover lasts. */
bool election_is_takeover_overdue(const struct fleet *f, int64_t now);
/* Whether this is the best candidate of all reachable instances. */
bool election_is_best_candidate(const struct fleet *f, int64_t now);
/* Whether most instances of the map are reachable. */
bool election_has_quorum(const struct fleet *f, int64_t now);
/* An epoch above all that are known. */
uint64_t election_next_epoch(const struct fleet *f);
/* Ends this takeover, as another instance changed the map first. */
void election_lost(struct fleet *f);

/* Whether the peer is a member of this fleet and reachable. */
bool election_is_reachable_member(const struct fleet *f,
				  const struct fleet_peer *p, int64_t now);

/*
 * Handles a report about this cell's driver, which the driver of the instance's
 * own cell has sent.
 */
void election_update_report(struct fleet *f, int64_t now, uint64_t epoch,
			    const struct driver_report *report);
/* Opens a link to the driver, which is needed to submit jobs to it. */
void election_dial_driver(struct fleet *f, int64_t now);
/* Closes the link to the driver of another cell. */
void election_hang_up(struct fleet *f);
/* The capacity that the driver last reported, and when; false: none. */
bool election_get_room(const struct fleet *f, int64_t now,
		       struct drive_room *room, int64_t *reported_at);

/* yield.c */
/* Called while this instance drives its whole fleet. */
void yield_tick(struct fleet *f, int64_t now);

/* isolated.c */
/*
 * Probes whether this failure domain is cut off; if it is, this instance
 * drives it. Called while no driver is reachable and no takeover is possible.
 */
void isolated_tick(struct fleet *f, int64_t now);
/* Handles a heartbeat of an instance that drives its failure domain. */
void isolated_update_driver(struct fleet *f, int64_t now,
			    const struct fleet_peer *p);
/* Ends the separate drive of our domain, whichever instance drives it. */
void isolated_end(struct fleet *f, int64_t now, const char *why);
/* Whether the peer that drives our cut-off domain is reachable. */
bool isolated_is_driver_reachable(const struct fleet *f, int64_t now);

/* map_join.c */
/* Adds this instance, or joiners that it admits; returns whether it did. */
bool map_join_update(struct fleet *f, int64_t now, struct fleet_map *next);

/* map_sync.c */
void map_sync_init(struct fleet *f, int64_t now);
void map_sync_tick(struct fleet *f, int64_t now);
/* Writes the map that names this instance as the driver under `epoch`. */
void map_sync_take_over(struct fleet *f, int64_t now, uint64_t epoch);

/* config_sync.c */
void config_sync_init(struct fleet *f, int64_t now);
void config_sync_tick(struct fleet *f, int64_t now);
/* Sends the configuration to a peer that lacks it. */
void config_sync_send(struct fleet *f, int64_t now, struct fleet_peer *p);
bool config_sync_receive(struct fleet *f, int64_t now, struct syc_bytes msg);

/* home.c */
void home_tick(struct fleet *f, int64_t now);
/*
 * Submits all jobs again, as there is another driver or the driver may have
 * lost them. The cancellations of cancelled jobs are sent first.
 */
void home_submit_all(struct fleet *f, int64_t now);
/* Submits the jobs that were not sent to any driver yet. */
void home_submit_waiting(struct fleet *f, int64_t now);
void home_job_done(struct fleet *f, int64_t now,
		   const struct drive_job_done *done);
/*
 * Answers all jobs, as unknown if they were submitted to a driver. Runs of
 * these end with their leases before a caller submits its job again.
 */
void home_end_all(struct fleet *f, int64_t now, const char *reason);
/* Tells the driver until when this instance can wait for its jobs. */
void home_tell_end(struct fleet *f, int64_t now);
void home_free(struct fleet *f);

/* job_cancel.c */
bool job_cancel_receive(struct fleet *f, int64_t now, uint64_t from,
			struct syc_bytes msg);
bool job_cancelled_receive(struct fleet *f, uint64_t from,
			   struct syc_bytes msg);

/* workers.c */
void workers_tick(struct fleet *f, int64_t now);
/* Sends a peer the list of workers that this instance drives. */
void workers_send(struct fleet *f, uint64_t to);
bool workers_receive(struct fleet *f, int64_t now, struct syc_bytes msg);

/* Copies the workers that this fleet drives; returns their number. */
size_t workers_copy_own(const struct fleet *f, struct drive_worker *next,
			const struct drive_worker *list, size_t n);

/* workers_age.c */
/* The list holds all that the store had at `at`. */
void workers_confirm(struct fleet *f, int64_t at);
/* The age of the list for a message; zero: not known. */
uint64_t workers_told_age_ms(const struct fleet *f, int64_t now);
/* Writes the age and the hash of the list into a heartbeat. */
void workers_put_age(const struct fleet *f, int64_t now, struct wire_out *w);
/* Reads them and, if the hashes are equal, takes the age over. */
void workers_read_age(struct fleet *f, int64_t echo_ms, struct wire_in *w);
/* A hash of the list that does not depend on the order of the workers. */
uint64_t workers_hash(const struct drive_worker *list, size_t n);
/* Whether this member has to read the list, as it would drive next. */
bool workers_is_standby_read_due(const struct fleet *f, int64_t now);
/*
 * To be called when the drive begins, or wakes from a pause: if the list is old,
 * no task is started until it has been read.
 */
void workers_await_if_old(struct fleet *f, int64_t now);
/* Ends that wait if the list was read, or the store takes too long. */
void workers_check_await(struct fleet *f, int64_t now);

/* workers_msgs.c */
void workers_pack_list(struct wire_out *w, const struct drive_worker *list,
		       size_t n);
/* The caller frees the list. */
struct drive_worker *workers_unpack_list(struct wire_in *w, uint32_t *n);
/*
 * What a message says of the workers' lives follows its lists, as an earlier
 * version refuses a longer row, but not a longer message. Its own messages have
 * no lives, so those of the unpacked list stay unknown.
 */
void workers_pack_lives(struct wire_out *w, const struct drive_worker *list,
			size_t n);
void workers_unpack_lives(struct wire_in *w, struct drive_worker *list,
			  uint32_t n);
/* The same of their slots, which a message of an earlier version lacks too. */
void workers_pack_slots(struct wire_out *w, const struct drive_worker *list,
			size_t n);
void workers_unpack_slots(struct wire_in *w, struct drive_worker *list,
			  uint32_t n);

/* workers_reader.c */
/* Asks another member to read the list; false: this instance must read. */
bool reader_request(struct fleet *f, int64_t now);
void reader_tick(struct fleet *f, int64_t now);
bool reader_receive_request(struct fleet *f, int64_t now, uint64_t from,
			    struct syc_bytes msg);
bool reader_receive_list(struct fleet *f, int64_t now, struct syc_bytes msg);
/* Passes a list that was read, or NULL, on to the driver that waits for it. */
void reader_answer(struct fleet *f, int64_t now,
		   const struct drive_worker *list, size_t n);

/* losses_msgs.c */
void losses_pack_list(struct wire_out *w, const struct loss *const *list,
		      size_t n, int64_t now);
/* Adds each loss in the message to `l`. */
void losses_unpack_list(struct wire_in *w, struct losses *l, int64_t now);

/* losses_store.c */
void losses_store_tick(struct fleet *f, int64_t now);

/* losses_sync.c */
/*
 * Tells peers of runs that were lost with their worker: the driver tells all,
 * the others tell the driver.
 */
void losses_sync_tick(struct fleet *f, int64_t now);
bool losses_sync_receive(struct fleet *f, int64_t now, struct fleet_peer *p,
			 struct syc_bytes msg);

/* fleet_msgs.c */
void msg_job_pack(struct wire_out *w, uint64_t tag,
		  const struct drive_job *job);
/* The body of `job` points into the message, its texts into this struct. */
struct msg_job {
	uint64_t tag;
	struct drive_job job;
	char id[DRIVE_JOB_ID_MAX];
	char service[SYC_NAME_MAX];
	char route[64];
	char label[SYC_NAME_MAX];
	char domain[SYC_NAME_MAX];
};
/* Returns false if the message cannot be read. */
bool msg_job_unpack(struct wire_in *w, struct syc_bytes msg, struct msg_job *m);

#endif
