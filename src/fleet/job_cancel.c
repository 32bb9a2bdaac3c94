/*
 * Passes the cancel of a job by its id to the driver of a fleet, which
 * acknowledges it, and tells its members, as one of them is the next driver.
 */
#include "fleet/fleet_state.h"

/* `tag`: of the cancel, for the acknowledgement; zero: there is none. */
static void pack_cancel(struct wire_out *w, uint64_t tag, const char *id)
{
	wire_begin(w, SYC_PEER_JOB_CANCEL, 2);
	wire_put_u64(w, tag);
	wire_put_str(w, id);
}

static void tell_members(struct fleet *f, const char *id)
{
	auto_wire_out struct wire_out w = {0};
	const struct fleet_peer *p;
	size_t i;

	pack_cancel(&w, 0, id);
	for (i = 0; i < f->n_peers; i++) {
		p = &f->peers[i];
		if (p->link_up && fleet_is_member(f, p->instance.id) &&
		    fleet_is_eligible_domain(f, p->instance.domain))
			f->opt.send(f->opt.ctx, p->instance.id, wire_bytes(&w));
	}
}

/* An instance that does not drive remembers the cancel, and that is all. */
static bool take_cancel(struct fleet *f, int64_t now, const char *id)
{
	bool is_new = drive_cancel_id(f->drive, now, id);

	if (!drive_is_active(f->drive))
		return false;
	if (is_new)
		tell_members(f, id);
	return true;
}

bool fleet_cancel_id(struct fleet *f, int64_t now, uint64_t tag, const char *id)
{
	auto_wire_out struct wire_out w = {0};
	uint64_t driver = election_get_driver(f);

	if (!driver)
		return false;
	if (driver == f->opt.self.id) {
		if (!take_cancel(f, now, id))
			return false;
		f->opt.cancel_acked(f->opt.ctx, driver, tag);
		return true;
	}
	pack_cancel(&w, tag, id);
	return f->opt.send(f->opt.ctx, driver, wire_bytes(&w));
}

static void acknowledge(struct fleet *f, uint64_t to, uint64_t tag)
{
	auto_wire_out struct wire_out w = {0};

	wire_begin(&w, SYC_PEER_JOB_CANCELLED, 1);
	wire_put_u64(&w, tag);
	f->opt.send(f->opt.ctx, to, wire_bytes(&w));
}

bool job_cancel_receive(struct fleet *f, int64_t now, uint64_t from,
			struct syc_bytes msg)
{
	char id[DRIVE_JOB_ID_MAX];
	struct wire_in w;
	uint64_t tag;

	wire_open(&w, msg);
	tag = wire_u64(&w);
	wire_str(&w, id, sizeof(id));
	if (!wire_close(&w))
		return false;
	if (!*id)
		drive_cancel(f->drive, now, from, tag);
	else if (take_cancel(f, now, id) && tag)
		acknowledge(f, from, tag);
	return true;
}

bool job_cancelled_receive(struct fleet *f, uint64_t from, struct syc_bytes msg)
{
	struct wire_in w;
	uint64_t tag;

	wire_open(&w, msg);
	tag = wire_u64(&w);
	if (!wire_close(&w))
		return false;
	f->opt.cancel_acked(f->opt.ctx, from, tag);
	return true;
}
