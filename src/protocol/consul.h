/*
 * Parsers of answers of the Consul HTTP API (version 1): the value of a key
 * and the health list of a service.
 */
#ifndef PROTOCOL_CONSUL_H
#define PROTOCOL_CONSUL_H

#include "protocol/protocol_error.h"
#include "sycamoreshore/types.h"
#include "util/buf.h"

enum {
	CONSUL_ANSWER_MAX = 2 * 1024 * 1024, /* bytes of one answer */
	CONSUL_TARGETS_MAX = 32768 /* targets of one service */
};

/*
 * Parses the answer to GET /v1/kv/KEY: appends the decoded value to `value`
 * and sets `*index` to the key's ModifyIndex.
 */
enum protocol_status consul_read_key(struct syc_bytes json, struct buf *value,
				     uint64_t *index);

/*
 * Parses the answer to GET /v1/health/service/NAME into `*targets`, which
 * the caller frees. An invalid entry is skipped and counted in `*skipped`.
 */
enum protocol_status consul_read_health(struct syc_bytes json,
					struct syc_target **targets, size_t *n,
					size_t *skipped);

#endif
