/* Registers targets in the store stand-in by the Consul agent's API. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http_exchange.h"
#include "target.h"

static char *describe(const struct registration *reg, const struct target *t)
{
	char name[64], rack[64], cpus[16], memory[16], accel[16];
	json_t *doc;
	char *text;

	snprintf(name, sizeof(name), "%s%d", reg->prefix, t->index + 1);
	snprintf(rack, sizeof(rack), "%s-r%d", reg->domain,
		 t->index % reg->racks + 1);
	snprintf(cpus, sizeof(cpus), "%d", reg->cpus);
	snprintf(memory, sizeof(memory), "%d", reg->memory_mb);
	snprintf(accel, sizeof(accel), "%d", reg->accelerators);
	doc = json_pack("{s:s,s:s,s:s,s:i,s:{s:s,s:s,s:s,s:s,s:s}}", "ID", name,
			"Name", reg->service, "Address", reg->ip, "Port",
			t->port, "Meta", "domain", reg->domain, "rack", rack,
			"cpus", cpus, "memory_mb", memory, "accelerators",
			accel);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

bool target_register(const struct registration *reg, const struct target *t)
{
	char *body = describe(reg, t), *answer;
	char head[256];
	bool ok;

	snprintf(head, sizeof(head),
		 "PUT /v1/agent/service/register HTTP/1.1\r\n"
		 "Host: %s\r\nConnection: close\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 reg->store, strlen(body));
	answer = http_exchange(reg->store, head, body, strlen(body), 0);
	ok = answer && !strncmp(answer, "HTTP/1.1 200", 12);
	free(answer);
	free(body);
	return ok;
}
