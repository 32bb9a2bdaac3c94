#include <stdlib.h>
#include <string.h>

#include "coordination/membership.h"
#include "util/alloc.h"

struct peer *peers_find(const struct peers *peers, uint64_t id)
{
	size_t i;

	for (i = 0; i < peers->n; i++)
		if (peers->list[i]->instance.id == id)
			return peers->list[i];
	return NULL;
}

struct peer *peers_add(struct peers *peers, const struct syc_instance *inst,
		       int64_t now)
{
	struct peer *p = peers_find(peers, inst->id);

	if (p)
		return p;
	if (peers->n == PEERS_MAX)
		return NULL;
	p = xcalloc(1, sizeof(*p));
	p->instance = *inst;
	p->last_message_at = now;
	peers->list[peers->n++] = p;
	return p;
}

void peers_remove(struct peers *peers, size_t i)
{
	free(peers->list[i]);
	peers->list[i] = peers->list[--peers->n];
}

void peers_free(struct peers *peers)
{
	while (peers->n)
		peers_remove(peers, 0);
}

bool peer_is_alive(const struct peer *p)
{
	return !p->is_suspected;
}

bool instance_is_restart(const struct syc_instance *a,
			 const struct syc_instance *b)
{
	return a->id != b->id && a->peer_addr.port &&
	       a->peer_addr.port == b->peer_addr.port &&
	       !strcmp(a->peer_addr.ip, b->peer_addr.ip) &&
	       !strcmp(a->name, b->name);
}
