#include "cmd/settings.h"
#include "cmd/settings_table.h"

#define AT(member) offsetof(struct settings, member)
#define FILE_MAX sizeof(((struct settings *)NULL)->key_file)

static const struct field instance_fields[] = {
	{"name", FIELD_NAME, AT(name), 0, 0, NULL, NULL,
	 "Name of this instance, in logs and dumps."},
	{"domain", FIELD_NAME, AT(domain), 0, 0, NULL, NULL,
	 "Failure domain it runs in, as the bundle names it."},
	{"rack", FIELD_NAME, AT(rack), 0, 0, NULL, "none",
	 "Rack it runs in; a backup is put in another."},
	{0},
};

static const struct field listen_fields[] = {
	{"callers", FIELD_ADDR, AT(callers), 0, 0, NULL, "127.0.0.1:7400",
	 "Address for callers; port 0 takes a free one."},
	{"peers", FIELD_ADDR, AT(peers), 0, 0, NULL, "127.0.0.1:7401",
	 "Address for other instances."},
	{"admin", FIELD_ADDR, AT(admin), 0, 0, NULL, "127.0.0.1:7402",
	 "Address for operators and metrics."},
	{"advertise", FIELD_IP, AT(advertise), 0, 0, NULL, "",
	 "IP number that peers dial; empty: that of `peers`."},
	{0},
};

static const struct field cluster_fields[] = {
	{"key_file", FIELD_TEXT, AT(key_file), 1, FILE_MAX, NULL, NULL,
	 "File with the cluster key, 64 hexadecimal digits."},
	{"heartbeat_ms", FIELD_U32, AT(heartbeat_ms), 20, 10000, "ms", "200",
	 "Pause between heartbeats to a peer."},
	{"suspect_ms", FIELD_U32, AT(suspect_ms), 100, 60000, "ms", "1500",
	 "Silence after which a peer is suspected; at least three heartbeats."},
	{0},
};

static const struct field platform_fields[] = {
	{"store", FIELD_ADDR, AT(store), 0, 0, NULL, "127.0.0.1:8500",
	 "Address of the platform's key-value service."},
	{"timeout_ms", FIELD_U32, AT(store_timeout_ms), 50, 60000, "ms", "2000",
	 "Time limit of a call; a watch adds its wait."},
	{"list_interval_ms", FIELD_U32, AT(list_interval_ms), 50, 60000, "ms",
	 "1000", "Pause between readings of the list of targets."},
	{"token_file", FIELD_TEXT, AT(token_file), 0, FILE_MAX, NULL, "",
	 "File with the service's access token; empty: none."},
	{0},
};

static const struct field limits_fields[] = {
	{"body_max", FIELD_U32, AT(body_max), 1024, 7340032, "bytes", "4194304",
	 "Largest body of a submission."},
	{"connections_max", FIELD_U32, AT(connections_max), 1, 65536, NULL,
	 "4096", "Connections from callers at once."},
	{"idle_s", FIELD_U32, AT(idle_s), 1, 3600, "s", "30",
	 "A silent connection of a caller is closed after this."},
	{"queue_max", FIELD_U32, AT(queue_max), 1, 1000000, "tasks", "20000",
	 "Tasks that wait for a slot at once."},
	{"claims_max", FIELD_U32, AT(claims_max), 1, 10000000, "claims",
	 "500000", "Idempotency keys remembered at once."},
	{"answers_max", FIELD_U32, AT(answers_max), 0, 1073741824, "bytes",
	 "67108864", "Answers kept for a repeated submission."},
	{"stop_s", FIELD_U32, AT(stop_s), 1, 3600, "s", "30",
	 "A planned stop ends at the latest after this."},
	{0},
};

static const struct field log_fields[] = {
	{"level", FIELD_LEVEL, AT(log_level), 0, 0, NULL, "info",
	 "Least level that is logged."},
	{"json", FIELD_BOOL, AT(log_json), 0, 0, NULL, "no",
	 "JSON lines instead of logfmt."},
	{"file", FIELD_TEXT, AT(log_file), 0, FILE_MAX, NULL, "",
	 "File to append to; empty: standard error."},
	{0},
};

const struct settings_section settings_sections[] = {
	{"instance", instance_fields, "Who this instance is."},
	{"listen", listen_fields, "Where it listens, by IP number."},
	{"cluster", cluster_fields, "How it meets its peers."},
	{"seeds", NULL,
	 "Peers to dial at the start: a name of your own = ip:port, up to 32."},
	{"platform", platform_fields, "The platform's services."},
	{"limits", limits_fields, "Bounds on what it holds."},
	{"operators", NULL,
	 "Who may sign bundles: name = public key as 64 hexadecimal digits, "
	 "1 to 16."},
	{"log", log_fields, "The log."},
	{0},
};
