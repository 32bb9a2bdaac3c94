#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd/entry.h"
#include "cmd/secret_file.h"
#include "sycamoreshore/clock.h"
#include "util/alloc.h"

enum {
	SEND_BYTES_MAX = 16 * 1024 * 1024 /* unsent on one peer link */
};

int64_t entry_now(void)
{
	return syc_now(&syc_clock_monotonic);
}

static void fill_self(struct entry *e)
{
	const struct settings *s = &e->settings;

	do
		randombytes_buf(&e->self.id, sizeof(e->self.id));
	while (!e->self.id);
	copy_text(e->self.name, sizeof(e->self.name), s->name);
	copy_text(e->self.domain, sizeof(e->self.domain), s->domain);
	copy_text(e->self.rack, sizeof(e->self.rack), s->rack);
	e->self.peer_addr = s->peers;
	if (*s->advertise)
		copy_text(e->self.peer_addr.ip, sizeof(e->self.peer_addr.ip),
			  s->advertise);
}

static bool read_secrets(struct entry *e, char *err, size_t errlen)
{
	const struct settings *s = &e->settings;

	if (!secret_file_read_hex(s->key_file, e->cluster_key, PEER_KEY_LEN,
				  err, errlen))
		return false;
	if (!*s->token_file)
		return true;
	return secret_file_read_line(s->token_file, e->store_token,
				     sizeof(e->store_token), err, errlen);
}

static bool open_peers(struct entry *e, char *err, size_t errlen)
{
	struct peer_links_options opt = {
		.loop = e->loop,
		.self = e->self,
		.listen = e->settings.peers,
		.cluster_key = e->cluster_key,
		.send_max = SEND_BYTES_MAX,
	};
	size_t i;

	entry_mail_set_peer_callbacks(e, &opt);
	if (peer_links_new(&e->peers, &opt)) {
		snprintf(err, errlen, "peers: %s", transport_last_error());
		return false;
	}
	e->self.peer_addr.port = peer_links_port(e->peers);
	for (i = 0; i < e->settings.n_seeds; i++)
		peer_links_dial(e->peers, &e->settings.seeds[i]);
	return true;
}

static void open_platform(struct entry *e)
{
	struct platform_client_options opt = {
		.loop = e->loop,
		.store = e->settings.store,
		.timeout_ms = e->settings.store_timeout_ms,
		.token = *e->store_token ? e->store_token : NULL,
	};

	e->platform = platform_client_new(&opt);
}

static void open_targets(struct entry *e)
{
	struct target_client_options opt = {.loop = e->loop};

	entry_mail_set_target_callbacks(e, &opt);
	e->targets = target_client_new(&opt);
}

static void open_core(struct entry *e)
{
	const struct settings *s = &e->settings;
	struct syc_core_options opt = {
		.self = e->self,
		.heartbeat_ms = s->heartbeat_ms,
		.suspect_ms = s->suspect_ms,
		.queue_max = s->queue_max,
		.claims_max = s->claims_max,
		.answers_max_bytes = s->answers_max,
		.cluster_key = e->cluster_key,
		.trusted = s->trusted,
		.n_trusted = s->n_trusted,
		.stop_ms = s->stop_s * 1000,
		.list_interval_ms = s->list_interval_ms,
		.wall = syc_clock_wall,
		.store = platform_client_ops(e->platform),
	};

	randombytes_buf(&opt.seed, sizeof(opt.seed));
	entry_mail_set_core_callbacks(e, &opt);
	e->core = syc_core_new(&opt, entry_now());
}

static bool open_callers(struct entry *e, char *err, size_t errlen)
{
	struct caller_server_options opt = {
		.loop = e->loop,
		.settings = &e->settings,
		.metrics = &e->metrics,
	};

	entry_mail_set_caller_callbacks(e, &opt);
	if (!caller_server_new(&e->callers, &opt))
		return true;
	snprintf(err, errlen, "callers: %s", transport_last_error());
	return false;
}

static bool admin_ready(void *ctx, const char **why)
{
	struct entry *e = ctx;

	if (e->stop_began_at) {
		*why = "stopping";
		return false;
	}
	return syc_core_ready(e->core, why);
}

static char *admin_state(void *ctx)
{
	struct entry *e = ctx;

	return syc_core_dump(e->core, entry_now());
}

static char *admin_ledger(void *ctx)
{
	struct entry *e = ctx;

	return syc_core_ledger(e->core, entry_now());
}

static void set_gauge(struct entry *e, const char *name, const char *help,
		      uint64_t val)
{
	*metrics_get(&e->metrics, METRIC_GAUGE, name, help, NULL) = val;
}

static void set_counter(struct entry *e, const char *name, const char *help,
			uint64_t val)
{
	*metrics_get(&e->metrics, METRIC_COUNTER, name, help, NULL) = val;
}

static void admin_refresh(void *ctx)
{
	struct entry *e = ctx;
	const struct syc_bundle *b = syc_core_bundle(e->core);
	uint64_t sent, received;

	peer_links_traffic(e->peers, &sent, &received);
	set_counter(e, "sycamoreshore_peer_sent_bytes_total",
		    "Bytes sent to other instances.", sent);
	set_counter(e, "sycamoreshore_peer_received_bytes_total",
		    "Bytes received from other instances.", received);
	set_counter(e, "sycamoreshore_platform_calls_total",
		    "Calls to the platform's store, watches included.",
		    platform_client_calls(e->platform));
	set_counter(e, "sycamoreshore_log_dropped_total",
		    "Log lines that could not be written.", log_dropped());
	set_gauge(e, "sycamoreshore_submissions_open",
		  "Submissions and forwarded requests not yet answered.",
		  syc_core_in_flight(e->core));
	set_gauge(e, "sycamoreshore_bundle_version",
		  "Version of the bundle in force; zero for none.",
		  b ? b->version : 0);
	set_gauge(e, "sycamoreshore_map_epoch",
		  "Epoch of the failure domain's map; zero for none.",
		  syc_core_epoch(e->core));
}

static bool open_admin(struct entry *e, char *err, size_t errlen)
{
	struct admin_server_options opt = {
		.loop = e->loop,
		.listen = e->settings.admin,
		.metrics = &e->metrics,
		.ctx = e,
		.is_ready = admin_ready,
		.state = admin_state,
		.ledger = admin_ledger,
		.refresh = admin_refresh,
	};

	if (!admin_server_new(&e->admin, &opt))
		return true;
	snprintf(err, errlen, "admin: %s", transport_last_error());
	return false;
}

bool entry_open(struct entry *e, char *err, size_t errlen)
{
	if (!read_secrets(e, err, errlen))
		return false;
	fill_self(e);
	entry_mail_init(e);
	if (!open_peers(e, err, errlen))
		return false;
	open_platform(e);
	open_targets(e);
	open_core(e);
	return open_callers(e, err, errlen) && open_admin(e, err, errlen);
}

void entry_free(struct entry *e)
{
	if (e->admin)
		admin_server_free(e->admin);
	if (e->callers)
		caller_server_free(e->callers);
	if (e->platform)
		platform_client_free(e->platform);
	if (e->targets)
		target_client_free(e->targets);
	if (e->peers)
		peer_links_free(e->peers);
	syc_core_free(e->core);
	if (e->to_core.end)
		entry_mail_free(e);
	metrics_free(&e->metrics);
	sodium_memzero(e->cluster_key, sizeof(e->cluster_key));
}
