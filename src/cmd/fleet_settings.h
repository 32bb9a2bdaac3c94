/*
 * The settings of one instance of a fleet, read from an INI file. A table
 * holds each key's type, range, unit, default and help.
 */
#ifndef CMD_FLEET_SETTINGS_H
#define CMD_FLEET_SETTINGS_H

#include "fleet/capacity.h"
#include "sycamoreshore/types.h"
#include "util/buf.h"
#include "util/log.h"

struct fleet_settings {
	/* [instance] */
	char name[SYC_NAME_MAX];
	char domain[SYC_NAME_MAX];
	char rack[SYC_NAME_MAX];
	/* [machine] */
	struct machine_limits machine;
	/* [listen] */
	struct syc_addr callers;
	struct syc_addr peers;
	struct syc_addr admin;
	/* [cluster] */
	char cluster[64];
	char key_file[256]; /* empty: the key is derived from `cluster` */
	/* [platform] */
	struct syc_addr store;
	uint32_t store_timeout_ms;
	uint32_t config_apply_ms;
	uint32_t evacuation_apply_ms; /* zero: no evacuations */
	/* [workers] */
	uint32_t lease_ms;
	uint32_t hold_wait_ms;
	/* [cells] */
	uint32_t divided_workers_min;
	uint32_t cell_workers_min; /* zero: never divided */
	/* [limits] */
	uint32_t body_max; /* bytes */
	uint32_t connections_max;
	uint32_t idle_s;
	uint32_t grace_ms; /* from SIGTERM to SIGKILL; zero: unknown */
	uint32_t drain_ms;
	uint32_t stop_ms;
	/* [log] */
	enum log_level log_level;
	bool log_json;
	uint32_t log_batch; /* bytes */
	uint32_t log_lines_per_s; /* zero: no limit */
};

/* On failure both return false and write a message into `err`. */
bool fleet_settings_read(struct fleet_settings *s, const char *path, char *err,
			 size_t errlen);
bool fleet_settings_parse(struct fleet_settings *s, const char *file,
			  struct syc_bytes text, char *err, size_t errlen);

/*
 * Sets the time from SIGTERM to SIGKILL, unless `text` is NULL or empty, and fits
 * the times of a planned stop into it.
 */
bool fleet_settings_set_grace(struct fleet_settings *s, const char *text,
			      char *err, size_t errlen);

/* Appends the reference page, as docs/SETTINGS-FLEET.md has it. */
void fleet_settings_reference(struct buf *out);

/* Prints the reference of all keys. */
void fleet_settings_print_reference(void);

#endif
