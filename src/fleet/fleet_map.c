#include <string.h>

#include "fleet/fleet_map.h"

enum { MEMBER_FIELDS = 6 };

void fleet_map_pack(struct wire_out *w, const struct fleet_map *m)
{
	size_t i;

	wire_begin(w, SYC_STORED_FLEET_MAP, 4);
	wire_put_u64(w, m->epoch);
	wire_put_u64(w, m->driver);
	wire_put_array(w, m->n_members);
	for (i = 0; i < m->n_members; i++) {
		const struct syc_instance *inst = &m->members[i];

		wire_put_array(w, MEMBER_FIELDS);
		wire_put_u64(w, inst->id);
		wire_put_str(w, inst->name);
		wire_put_str(w, inst->domain);
		wire_put_str(w, inst->rack);
		wire_put_str(w, inst->peer_addr.ip);
		wire_put_u64(w, inst->peer_addr.port);
	}
	wire_put_array(w, m->n_cells);
	for (i = 0; i < m->n_cells; i++)
		wire_put_str(w, m->cells[i]);
}

static void unpack_cells(struct wire_in *w, struct fleet_map *m)
{
	size_t i;

	if (!wire_has_more(w))
		return;
	m->n_cells = wire_enter(w, FLEET_CELLS_MAX);
	for (i = 0; i < m->n_cells; i++)
		wire_str(w, m->cells[i], SYC_NAME_MAX);
	wire_leave(w);
}

static void unpack_member(struct wire_in *w, struct syc_instance *inst)
{
	wire_enter(w, MEMBER_FIELDS);
	inst->id = wire_u64(w);
	wire_str(w, inst->name, sizeof(inst->name));
	wire_str(w, inst->domain, sizeof(inst->domain));
	wire_str(w, inst->rack, sizeof(inst->rack));
	wire_str(w, inst->peer_addr.ip, sizeof(inst->peer_addr.ip));
	inst->peer_addr.port = (uint16_t)wire_u64(w);
	wire_leave(w);
}

bool fleet_map_unpack(struct syc_bytes text, struct fleet_map *m)
{
	struct wire_in w;
	size_t i;

	memset(m, 0, sizeof(*m));
	if (wire_open(&w, text) != SYC_STORED_FLEET_MAP) {
		wire_close(&w);
		return false;
	}
	m->epoch = wire_u64(&w);
	m->driver = wire_u64(&w);
	m->n_members = wire_enter(&w, FLEET_MEMBERS_MAX);
	for (i = 0; i < m->n_members; i++)
		unpack_member(&w, &m->members[i]);
	wire_leave(&w);
	unpack_cells(&w, m);
	if (wire_close(&w))
		return true;
	memset(m, 0, sizeof(*m));
	return false;
}

const struct syc_instance *fleet_map_find(const struct fleet_map *m,
					  uint64_t id)
{
	size_t i;

	for (i = 0; i < m->n_members; i++)
		if (m->members[i].id == id)
			return &m->members[i];
	return NULL;
}

static void remove_at(struct fleet_map *m, size_t i)
{
	m->members[i] = m->members[--m->n_members];
}

void fleet_map_add(struct fleet_map *m, const struct syc_instance *inst)
{
	size_t i;

	for (i = m->n_members; i-- > 0;)
		if (!strcmp(m->members[i].name, inst->name))
			remove_at(m, i);
	if (m->n_members < FLEET_MEMBERS_MAX)
		m->members[m->n_members++] = *inst;
}

void fleet_map_remove(struct fleet_map *m, uint64_t id)
{
	size_t i;

	for (i = m->n_members; i-- > 0;)
		if (m->members[i].id == id)
			remove_at(m, i);
}

void fleet_map_copy_cells(struct fleet_map *m, const struct fleet_map *from)
{
	memcpy(m->cells, from->cells, sizeof(m->cells));
	m->n_cells = from->n_cells;
}
