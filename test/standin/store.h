/*
 * The store stand-in: the part of the Consul HTTP API that the program uses,
 * in memory, with knobs that switch faults on. Knobs, counts and snapshots
 * are served under /standin/.
 */
#ifndef TEST_STORE_H
#define TEST_STORE_H

#include <ev.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { STORE_VALUE_MAX = 1024 * 1024 /* bytes */ };

struct store_value {
	char *data; /* NULL: absent */
	size_t len;
	uint64_t create_index;
	uint64_t modify_index;
};

struct store_key {
	char *name;
	struct store_value current;
	struct store_value previous; /* the value that a stale read returns */
	struct store_value snapshot;
};

struct store_data {
	uint64_t index; /* index of the last change */
	struct store_key *keys;
	size_t n_keys;
	json_t *services; /* registrations by ID */
	uint64_t services_index;
};

/* Returns the key `name`. Adds it without a value when it does not exist. */
struct store_key *store_key(struct store_data *d, const char *name);
void store_set(struct store_data *d, struct store_key *k, const char *data,
	       size_t len);
void store_unset(struct store_data *d, struct store_key *k);
void store_snapshot(struct store_data *d);
void store_restore(struct store_data *d);

/* Returns a key in the API's format, which the caller releases. */
json_t *store_key_json(const char *name, const struct store_value *v);

/* Each returns false when the body is invalid or the ID is unknown. */
bool store_register(struct store_data *d, const char *body, size_t len);
bool store_deregister(struct store_data *d, const char *id);
bool store_set_maintenance(struct store_data *d, const char *id, bool enable);

/* Returns the instances of a service in the health API's format. */
json_t *store_health_json(const struct store_data *d, const char *service);

struct store_counts {
	uint64_t kv_get, kv_put, kv_cas, kv_delete, kv_watch;
	uint64_t health, health_watch, agent;
};

struct store_knobs {
	long down; /* all connections are closed without an answer */
	long slow_ms; /* delay of each reply */
	long lose_replies; /* number of next writes that get no reply */
	long stale; /* reads return the value before the last change */
};

struct store_request;

struct store {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	ev_io io;
	ev_timer mhd_timer;
	uint16_t port;
	struct store_data data;
	struct store_counts counts;
	struct store_knobs knobs;
	struct store_request *waiting; /* blocking queries */
};

/* Starts listening; returns false when the address cannot be bound. */
bool store_listen(struct store *s, const char *ip, uint16_t port);

/* A request, until MHD reports its completion. */
struct store_request {
	struct store *store;
	struct MHD_Connection *conn;
	char *body;
	size_t len;
	bool too_long;
	bool suspended;
	bool is_counted;
	bool waited; /* a blocking query whose wait has ended */
	bool loses_reply; /* the connection is closed instead of a reply */
	unsigned status; /* status of the reply; zero: no reply yet */
	char *reply;
	size_t reply_len;
	uint64_t index; /* X-Consul-Index; zero: none */
	ev_timer timer;
	struct store_request *next; /* on the list `waiting` */
};

/*
 * Handles a complete request and sets its status and reply. Returns false
 * when it is a blocking query that has to wait.
 */
bool store_answer(struct store_request *r, const char *method,
		  const char *path);

/* Sets the reply `text`, which the request then owns. */
void store_reply(struct store_request *r, unsigned status, char *text,
		 size_t len);

/* Resumes all blocking queries, so that they check for changes. */
void store_wake(struct store *s);

/* Returns the argument `name` of the request's URL, or NULL. */
const char *store_query(const struct store_request *r, const char *name);

#endif
