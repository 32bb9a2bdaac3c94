/* Reads the messages of peers and passes them to the fleet's parts. */
#include "fleet/fleet_state.h"

enum {
	/* What a link held back has arrived this long after its end. */
	HELD_BACK_MS = 1000
};

static void refuse_unread(struct fleet *f, uint64_t from,
			  const struct msg_job *m)
{
	struct drive_job_done done = {
		.home = from,
		.tag = m->tag,
		.generation = m->job.generation,
		.outcome = DRIVE_NOT_TAKEN,
		.reason = "driver_paused",
	};

	log_info("job_not_taken", LOG_S("job", m->job.id), LOG_U("home", from));
	fleet_send_job_done(f, &done);
}

/* A job that waited on a link comes together with later heartbeats. */
static void take_job(struct fleet *f, int64_t now, uint64_t from,
		     struct msg_job *m)
{
	const struct fleet_peer *home = heartbeat_find_peer(f, from);

	if (home && home->heard_again_at &&
	    now - home->heard_again_at < HELD_BACK_MS)
		m->job.may_be_old = true;
	drive_submit(f->drive, now, from, m->tag, &m->job);
}

static bool receive_job(struct fleet *f, int64_t now, uint64_t from,
			struct syc_bytes msg)
{
	struct msg_job m;
	struct wire_in w;
	bool ok = msg_job_unpack(&w, msg, &m);

	/*
	 * An instance that does not drive drops the job, and its home submits
	 * it again. A driver that was paused cannot tell whether the home has
	 * given the job up meanwhile, so the home must submit it again.
	 */
	if (ok && drive_is_active(f->drive) && fleet_is_resuming(f, now))
		refuse_unread(f, from, &m);
	else if (ok && drive_is_active(f->drive))
		take_job(f, now, from, &m);
	return wire_close(&w) && ok;
}

static bool receive_job_done(struct fleet *f, int64_t now, struct syc_bytes msg)
{
	struct drive_job_done done = {0};
	char reason[SYC_NAME_MAX];
	struct wire_in w;

	wire_open(&w, msg);
	done.tag = wire_u64(&w);
	done.generation = (uint32_t)wire_u64(&w);
	done.outcome = (enum drive_outcome)wire_u64(&w);
	done.retry_after_ms = (uint32_t)wire_u64(&w);
	wire_str(&w, reason, sizeof(reason));
	done.reason = reason;
	if (wire_has_more(&w)) {
		done.outcome = DRIVE_ELSEWHERE;
		done.cell = (uint32_t)wire_u64(&w);
	}
	if (!wire_close(&w) || done.outcome < DRIVE_COMPLETED ||
	    done.outcome > DRIVE_ELSEWHERE)
		return false;
	home_job_done(f, now, &done);
	return true;
}

static bool receive_end_by(struct fleet *f, int64_t now, uint64_t from,
			   struct syc_bytes msg)
{
	struct wire_in w;
	uint64_t tag, left_ms;

	wire_open(&w, msg);
	tag = wire_u64(&w);
	left_ms = wire_u64(&w);
	if (!wire_close(&w) || left_ms > UINT32_MAX)
		return false;
	drive_end_by(f->drive, now, from, tag, (uint32_t)left_ms);
	return true;
}

bool fleet_receive(struct fleet *f, int64_t now, uint64_t from,
		   struct syc_bytes msg)
{
	struct fleet_peer *p;

	fleet_detect_pause(f, now);
	p = heartbeat_get_peer(f, from);
	if (!p)
		return true; /* the peer was dropped meanwhile */
	switch (wire_type(msg)) {
	case SYC_PEER_FLEET_HEARTBEAT:
		return heartbeat_receive(f, now, p, msg);
	case SYC_PEER_JOB:
		return receive_job(f, now, from, msg);
	case SYC_PEER_JOB_DONE:
		return receive_job_done(f, now, msg);
	case SYC_PEER_JOB_CANCEL:
		return job_cancel_receive(f, now, from, msg);
	case SYC_PEER_JOB_CANCELLED:
		return job_cancelled_receive(f, from, msg);
	case SYC_PEER_JOB_END_BY:
		return receive_end_by(f, now, from, msg);
	case SYC_PEER_CONFIG:
		return config_sync_receive(f, now, msg);
	case SYC_PEER_WORKERS_REQUEST:
		return reader_receive_request(f, now, from, msg);
	case SYC_PEER_WORKERS_READ:
		return reader_receive_list(f, now, msg);
	case SYC_PEER_LOSSES:
		return losses_sync_receive(f, now, p, msg);
	case SYC_PEER_WORKERS:
		return workers_receive(f, now, msg);
	default:
		return false;
	}
}
