/*
 * Types of the messages between instances. A message is one msgpack array
 * whose first element is the type. Each module packs and unpacks its own
 * messages.
 */
#ifndef SYCAMORESHORE_PEER_TYPE_H
#define SYCAMORESHORE_PEER_TYPE_H

enum syc_peer_type {
	/* membership and map */
	SYC_PEER_HEARTBEAT = 1,
	SYC_PEER_LEAVE,
	SYC_PEER_MAP_REQUEST,
	SYC_PEER_MAP,
	/* claims */
	SYC_PEER_CLAIM = 16,
	SYC_PEER_CLAIM_ACK,
	SYC_PEER_CLAIM_END,
	SYC_PEER_CLAIM_COPY,
	SYC_PEER_CLAIM_COPY_ACK,
	/* slot grants */
	SYC_PEER_SLOT_REQUEST = 32,
	SYC_PEER_SLOT_GRANT,
	SYC_PEER_SLOT_RETURN,
	SYC_PEER_ALLOTMENT,
	/* bundle */
	SYC_PEER_BUNDLE_REQUEST = 48,
	SYC_PEER_BUNDLE,
	/* forwarded submissions */
	SYC_PEER_SUBMIT = 64,
	SYC_PEER_ANSWER,
	SYC_PEER_IN_FLIGHT,
	/* drivers of leased workers and homes of jobs */
	SYC_PEER_FLEET_HEARTBEAT = 80,
	SYC_PEER_JOB,
	SYC_PEER_JOB_DONE,
	SYC_PEER_JOB_CANCEL,
	SYC_PEER_CONFIG,
	SYC_PEER_WORKERS,
	SYC_PEER_CELL, /* a message to the fleet of one cell */
	SYC_PEER_CELL_REPORTS, /* what a driver knows of the other cells */
	SYC_PEER_WORKERS_REQUEST, /* asks a peer to read the workers' list */
	SYC_PEER_WORKERS_READ, /* the list that it has read */
	SYC_PEER_LOSSES, /* runs that were lost with their workers */
	SYC_PEER_OPEN_JOBS, /* the jobs that a cell has */
	SYC_PEER_JOB_QUERY, /* asks whether another cell has a job */
	SYC_PEER_JOB_LOCATED, /* whether it has */
	SYC_PEER_JOB_CANCELLED, /* acknowledges a SYC_PEER_JOB_CANCEL */
	/* When a job's home stops; an earlier version takes no note of it. */
	SYC_PEER_JOB_END_BY,
	/* a value in the store; it is never sent to a peer */
	SYC_STORED_FLEET_MAP = 96,
	SYC_STORED_LOSSES /* the same */
};

#endif
