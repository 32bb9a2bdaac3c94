#include "cmd/settings.h"
#include "cmd/settings_table.h"

#define OFFSET_OF(member) offsetof(struct settings, member)
#define PATH_BYTES_MAX sizeof(((struct settings *)NULL)->key_file)

static const struct field instance_fields[] = {
	{"name", FIELD_NAME, OFFSET_OF(name), 0, 0, NULL, NULL,
	 "Name of this instance in logs and state dumps."},
	{"domain", FIELD_NAME, OFFSET_OF(domain), 0, 0, NULL, NULL,
	 "Failure domain of this instance, as named in the bundle."},
	{"rack", FIELD_NAME, OFFSET_OF(rack), 0, 0, NULL, "none",
	 "Rack of this instance; backups are put in another rack if possible."},
	{0},
};

static const struct field listen_fields[] = {
	{"callers", FIELD_ADDR, OFFSET_OF(callers), 0, 0, NULL,
	 "127.0.0.1:7400", "Address for callers; port 0 takes a free port."},
	{"peers", FIELD_ADDR, OFFSET_OF(peers), 0, 0, NULL, "127.0.0.1:7401",
	 "Address for other instances."},
	{"admin", FIELD_ADDR, OFFSET_OF(admin), 0, 0, NULL, "127.0.0.1:7402",
	 "Address for operators and metrics."},
	{"advertise", FIELD_IP, OFFSET_OF(advertise), 0, 0, NULL, "",
	 "IP address that peers connect to; empty: that of `peers`."},
	{0},
};

static const struct field cluster_fields[] = {
	{"key_file", FIELD_TEXT, OFFSET_OF(key_file), 1, PATH_BYTES_MAX, NULL,
	 NULL, "File with the cluster key, 64 hexadecimal digits."},
	{"heartbeat_ms", FIELD_U32, OFFSET_OF(heartbeat_ms), 20, 10000, "ms",
	 "200", "Interval between heartbeats to a peer."},
	{"suspect_ms", FIELD_U32, OFFSET_OF(suspect_ms), 100, 60000, "ms",
	 "1500",
	 "Time without a heartbeat after which a peer is suspected; at least 3 "
	 "times heartbeat_ms."},
	{0},
};

static const struct field platform_fields[] = {
	{"store", FIELD_ADDR, OFFSET_OF(store), 0, 0, NULL, "127.0.0.1:8500",
	 "Address of the platform's key-value service."},
	{"timeout_ms", FIELD_U32, OFFSET_OF(store_timeout_ms), 50, 60000, "ms",
	 "2000", "Time limit of a call; a watch adds its wait time."},
	{"list_interval_ms", FIELD_U32, OFFSET_OF(list_interval_ms), 50, 60000,
	 "ms", "1000", "Interval between reads of the list of targets."},
	{"token_file", FIELD_TEXT, OFFSET_OF(token_file), 0, PATH_BYTES_MAX,
	 NULL, "",
	 "File with the access token of the key-value service; empty: none."},
	{0},
};

static const struct field limits_fields[] = {
	{"body_max", FIELD_U32, OFFSET_OF(body_max), 1024, 7340032, "bytes",
	 "4194304", "Largest body of a submission."},
	{"connections_max", FIELD_U32, OFFSET_OF(connections_max), 1, 65536,
	 NULL, "4096", "Most open connections from callers."},
	{"idle_s", FIELD_U32, OFFSET_OF(idle_s), 1, 3600, "s", "30",
	 "Time after which an idle connection of a caller is closed."},
	{"queue_max", FIELD_U32, OFFSET_OF(queue_max), 1, 1000000, "tasks",
	 "20000", "Most tasks that wait for a slot."},
	{"claims_max", FIELD_U32, OFFSET_OF(claims_max), 1, 10000000, "claims",
	 "500000", "Most idempotency keys that are remembered."},
	{"answers_max", FIELD_U32, OFFSET_OF(answers_max), 0, 1073741824,
	 "bytes", "67108864",
	 "Most bytes of answers kept for repeated submissions."},
	{"stop_s", FIELD_U32, OFFSET_OF(stop_s), 1, 3600, "s", "30",
	 "Time limit of a planned stop."},
	{0},
};

static const struct field log_fields[] = {
	{"level", FIELD_LEVEL, OFFSET_OF(log_level), 0, 0, NULL, "info",
	 "Lowest level that is logged."},
	{"json", FIELD_BOOL, OFFSET_OF(log_json), 0, 0, NULL, "no",
	 "JSON lines instead of logfmt."},
	{"file", FIELD_TEXT, OFFSET_OF(log_file), 0, PATH_BYTES_MAX, NULL, "",
	 "File to append to; empty: standard error."},
	{0},
};

const struct settings_section settings_sections[] = {
	{"instance", instance_fields, "Identity of this instance."},
	{"listen", listen_fields,
	 "Addresses to listen on, by IP address; host names are not allowed."},
	{"cluster", cluster_fields, "Cluster key and heartbeats."},
	{"seeds", NULL,
	 "Peers to connect to at the start: any name = ip:port, at most 32."},
	{"platform", platform_fields, "The platform's services."},
	{"limits", limits_fields, "Limits on connections, queues and memory."},
	{"operators", NULL,
	 "Operators who may sign bundles: name = public key as 64 hexadecimal "
	 "digits, "
	 "1 to 16."},
	{"log", log_fields, "The log."},
	{0},
};
