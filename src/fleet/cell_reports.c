/*
 * Reports about the drivers of other cells. The drivers of all cells have links
 * to each other; each passes on to the instances of its own failure domain who
 * drives the other cells, and their free capacity. So an instance needs links
 * to its own domain only, and opens one to the driver of another cell when it
 * submits a job there.
 */
#include <string.h>

#include "fleet/cells_state.h"

enum {
	REPORT_INTERVAL_MS = 100,
	/* Name and address of a driver are sent at intervals. */
	DESCRIBE_INTERVAL_MS = 300,
	/* A takeover takes less; no reports come meanwhile. */
	UNREPORTED_AFTER_MS = 200,
	/* A link to the driver of another cell is closed when idle for this. */
	LINK_IDLE_MS = 10000,
	BRIEF_FIELDS = 6,
	DESCRIPTION_FIELDS = 5
};

static const struct fleet_peer *find_heard_driver(const struct fleet *f,
						  int64_t now)
{
	const struct fleet_peer *p = heartbeat_find_peer(f, f->driver);

	return p && heartbeat_is_reachable(p, now) ? p : NULL;
}

static bool is_description_due(struct cell *cell, int64_t now)
{
	if (cell->described_driver == cell->fleet->driver &&
	    now - cell->described_at < DESCRIBE_INTERVAL_MS)
		return false;
	cell->described_driver = cell->fleet->driver;
	cell->described_at = now;
	return true;
}

static void pack_report(struct wire_out *w, struct cell *cell,
			const struct fleet_peer *p, int64_t now)
{
	const struct syc_instance *driver = &p->instance;
	bool describe = is_description_due(cell, now);

	wire_put_array(w, BRIEF_FIELDS + (describe ? DESCRIPTION_FIELDS : 0));
	wire_put_u64(w, cell->number);
	wire_put_u64(w, cell->fleet->epoch);
	wire_put_u64(w, driver->id);
	wire_put_u64(w, (uint64_t)(now - p->heartbeat_at));
	wire_put_u64(w, p->room.cpu_milli);
	wire_put_u64(w, p->room.free_cpu_milli);
	if (!describe)
		return;
	wire_put_str(w, driver->name);
	wire_put_str(w, driver->domain);
	wire_put_str(w, driver->rack);
	wire_put_str(w, driver->peer_addr.ip);
	wire_put_u64(w, driver->peer_addr.port);
}

/* The cells whose driver this instance hears; returns their number. */
static size_t list_heard(struct cells *c, struct cell *heard[FLEET_CELLS_MAX],
			 int64_t now)
{
	size_t i, n = 0;

	for (i = 0; i < c->n; i++)
		if (!fleet_is_eligible(c->cells[i].fleet) &&
		    find_heard_driver(c->cells[i].fleet, now))
			heard[n++] = &c->cells[i];
	return n;
}

static void send_reports(struct cells *c, const struct fleet *own, int64_t now)
{
	auto_wire_out struct wire_out w = {0};
	struct cell *heard[FLEET_CELLS_MAX];
	const struct fleet_peer *p;
	size_t i, n = list_heard(c, heard, now);

	wire_begin(&w, SYC_PEER_CELL_REPORTS, 1);
	wire_put_array(&w, n);
	for (i = 0; i < n; i++)
		pack_report(&w, heard[i],
			    find_heard_driver(heard[i]->fleet, now), now);
	for (i = 0; i < own->n_peers; i++) {
		p = &own->peers[i];
		if (p->link_up &&
		    fleet_is_eligible_domain(own, p->instance.domain))
			c->opt.send(c->opt.ctx, p->instance.id, wire_bytes(&w));
	}
}

static void dial_drivers(struct cells *c, int64_t now)
{
	size_t i;

	for (i = 0; i < c->n; i++) {
		if (fleet_is_eligible(c->cells[i].fleet))
			continue;
		c->cells[i].used_at = now;
		election_dial_driver(c->cells[i].fleet, now);
	}
}

static void dial_listed(const struct cells *c, const struct fleet *f,
			const struct fleet_map *m)
{
	size_t i;

	for (i = 0; i < m->n_members; i++)
		if (fleet_is_eligible_domain(f, m->members[i].domain))
			c->opt.dial(c->opt.ctx, &m->members[i].peer_addr);
}

/*
 * Opens links to the members of cells whose driver is not heard, as the next
 * driver sends heartbeats to each instance that it has a link to. Two drivers
 * that begin while the store is unreachable would not know of each other.
 */
static void dial_members(struct cells *c, int64_t now)
{
	const struct fleet *f;
	size_t i;

	for (i = 0; i < c->n; i++) {
		f = c->cells[i].fleet;
		if (fleet_is_eligible(f) ||
		    election_is_driver_reachable(f, now))
			continue;
		dial_listed(c, f, &f->map);
		/* The cell's own map is not read by all of its neighbours. */
		dial_listed(c, f, &c->whole.fleet->map);
	}
}

/*
 * Keeps links to the drivers of cells that have jobs of this instance, and of
 * those that were used lately. There may be another driver meanwhile.
 */
static void tend_links(struct cells *c, int64_t now)
{
	struct cell *cell;
	size_t i;

	for (i = 0; i < c->n; i++) {
		cell = &c->cells[i];
		if (fleet_open_jobs(cell->fleet) &&
		    !fleet_is_eligible(cell->fleet))
			election_dial_driver(cell->fleet, now);
		if (!cell->used_at || now - cell->used_at < LINK_IDLE_MS ||
		    fleet_open_jobs(cell->fleet))
			continue;
		cell->used_at = 0;
		if (!fleet_is_eligible(cell->fleet))
			election_hang_up(cell->fleet);
	}
}

/* Whether no driver reports to this instance: it has no cell, or no driver. */
static bool is_unreported(const struct cells *c, const struct fleet *own,
			  int64_t now)
{
	return own == c->whole.fleet ||
	       (own->driver_lost_at &&
		now - own->driver_lost_at >= UNREPORTED_AFTER_MS);
}

void cell_reports_tick(struct cells *c, int64_t now)
{
	const struct fleet *own = cells_own(c);

	if (!c->n || now < c->next_reports_at)
		return;
	c->next_reports_at = now + REPORT_INTERVAL_MS;
	if (is_unreported(c, own, now)) {
		dial_drivers(c, now);
	} else if (fleet_is_driver(own)) {
		dial_drivers(c, now);
		dial_members(c, now);
		send_reports(c, own, now);
	} else {
		tend_links(c, now);
	}
}

static void unpack_report(struct wire_in *w, uint64_t *number, uint64_t *epoch,
			  struct driver_report *r, int64_t now)
{
	wire_enter(w, BRIEF_FIELDS + DESCRIPTION_FIELDS);
	*number = wire_u64(w);
	*epoch = wire_u64(w);
	r->driver.id = wire_u64(w);
	r->heard_at = now - (int64_t)(uint32_t)wire_u64(w);
	r->room.cpu_milli = wire_u64(w);
	r->room.free_cpu_milli = wire_u64(w);
	if (wire_has_more(w)) {
		wire_str(w, r->driver.name, sizeof(r->driver.name));
		wire_str(w, r->driver.domain, sizeof(r->driver.domain));
		wire_str(w, r->driver.rack, sizeof(r->driver.rack));
		wire_str(w, r->driver.peer_addr.ip,
			 sizeof(r->driver.peer_addr.ip));
		r->driver.peer_addr.port = (uint16_t)wire_u64(w);
	}
	wire_leave(w);
}

static void take_report(struct cells *c, int64_t now, uint64_t number,
			uint64_t epoch, const struct driver_report *r)
{
	struct fleet *f;

	if (number >= c->n)
		return; /* this instance does not know the cell yet */
	f = c->cells[number].fleet;
	/* A member hears its own driver. */
	if (!fleet_is_eligible(f))
		election_update_report(f, now, epoch, r);
}

bool cell_reports_receive(struct cells *c, int64_t now, struct syc_bytes msg)
{
	uint64_t number, epoch;
	struct wire_in w;
	uint32_t i, n;

	wire_open(&w, msg);
	n = wire_enter(&w, FLEET_CELLS_MAX);
	for (i = 0; i < n && !w.failed; i++) {
		struct driver_report r = {0};

		unpack_report(&w, &number, &epoch, &r, now);
		if (!w.failed)
			take_report(c, now, number, epoch, &r);
	}
	wire_leave(&w);
	return wire_close(&w);
}
