/*
 * The entry daemon: the components of one instance and the messages between
 * them. The core makes all decisions; the servers and clients own their
 * sockets.
 */
#ifndef CMD_ENTRY_H
#define CMD_ENTRY_H

#include <ev.h>

#include "cmd/admin_server.h"
#include "cmd/caller_server.h"
#include "cmd/mailbox.h"
#include "cmd/platform_client.h"
#include "cmd/settings.h"
#include "cmd/target_client.h"
#include "sycamoreshore/core.h"
#include "transport/peer_link.h"
#include "util/metrics.h"

/* The beginning of the payload of MAIL_START; the task's body follows. */
struct start_mail {
	struct syc_target target;
	struct syc_service service;
	char kind[SYC_NAME_MAX];
	char caller[SYC_NAME_MAX];
	uint64_t task;
	uint64_t epoch;
	uint32_t attempt;
	uint32_t time_limit_ms;
};

/* The beginning of the payload of MAIL_RESULT; the result's body follows. */
struct result_mail {
	enum syc_send_end end;
	uint16_t status;
};

struct entry {
	struct ev_loop *loop;
	struct settings settings;
	struct metrics metrics;
	uint8_t cluster_key[PEER_KEY_LEN];
	char store_token[256];
	struct syc_instance self;
	struct syc_core *core;
	struct caller_server *callers;
	struct target_client *targets;
	struct peer_links *peers;
	struct platform_client *platform;
	struct admin_server *admin;
	struct mailbox to_core;
	struct mailbox to_callers;
	struct mailbox to_targets;
	struct ev_timer tick;
	struct ev_signal sigterm, sigint, sigusr1;
	int64_t stop_began_at; /* time by entry_now; zero: not stopping */
	int exit_code;
};

/*
 * Binds the sockets and starts the components. On failure returns false with
 * a message in `err`; entry_free releases what was started.
 */
bool entry_open(struct entry *e, char *err, size_t errlen);
void entry_free(struct entry *e);

/* entry_mail.c: the messages between the components. */
void entry_mail_init(struct entry *e);
void entry_mail_free(struct entry *e);
/* Each sets the callbacks by which a component posts to the others. */
void entry_mail_set_core_callbacks(struct entry *e,
				   struct syc_core_options *opt);
void entry_mail_set_caller_callbacks(struct entry *e,
				     struct caller_server_options *opt);
void entry_mail_set_target_callbacks(struct entry *e,
				     struct target_client_options *opt);
void entry_mail_set_peer_callbacks(struct entry *e,
				   struct peer_links_options *opt);

/* Returns the monotonic time in milliseconds. */
int64_t entry_now(void);

#endif
