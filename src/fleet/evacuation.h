/*
 * The failure domains that the operator has evacuated: no task is started on
 * their workers. See docs/design/evacuation.md.
 */
#ifndef FLEET_EVACUATION_H
#define FLEET_EVACUATION_H

#include "drive/drive.h"
#include "fleet/key_watch.h"
#include "protocol/wire.h"

struct fleet;

/* An evacuated domain, for the log. */
struct evacuation {
	char domain[SYC_NAME_MAX];
	int64_t learned_at;
	bool last_start_logged;
};

/* Kept in the whole fleet, for its cells too. */
struct evacuations {
	/* Its index is the store's revision when the set was read. */
	struct key_watch watch;
	/* Counts the changes of the set; zero: it is not known. */
	uint64_t n_changes;
	size_t n;
	struct evacuation list[DRIVE_DOMAINS_MAX]; /* in the order of names */
};

void evacuation_init(struct fleet *f, int64_t now);

/* Keeps the set known, and tells the drive of `f` when it has changed. */
void evacuation_tick(struct fleet *f, int64_t now);

/* Whether the domain is evacuated, as far as the whole fleet `f` knows. */
bool evacuation_has(const struct fleet *f, const char *domain);

/* The fields of a heartbeat: revision, age and names. */
enum { EVACUATION_FIELDS = 3 };
void evacuation_put_fields(const struct fleet *f, int64_t now,
			   struct wire_out *w);

/* Reads these fields of a peer's heartbeat, which echoes `echo_ms`. */
void evacuation_read_fields(struct fleet *f, int64_t echo_ms,
			    struct wire_in *w);

#endif
