#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "cmd/fleet_daemon.h"
#include "util/alloc.h"

static void set_metric(struct fleet_daemon *d, enum metric_kind kind,
		       const char *name, const char *help, const char *labels,
		       uint64_t val)
{
	*metrics_get(&d->metrics, kind, name, help, labels) = val;
}

static void set_answer_metrics(struct fleet_daemon *d)
{
	const struct job_server_counts *c = job_server_counts(d->jobs);
	const struct {
		const char *labels;
		uint64_t val;
	} rows[] = {
		{"outcome=\"completed\"", c->completed},
		{"outcome=\"failed\"", c->failed},
		{"outcome=\"cancelled\"", c->cancelled},
		{"outcome=\"not_run\"", c->not_run},
		{"outcome=\"unknown\"", c->unknown},
		{"outcome=\"no_config\"", c->no_config},
		{"outcome=\"no_route\"", c->no_route},
		{"outcome=\"invalid\"", c->invalid},
		{"outcome=\"unsupported\"", c->unsupported},
		{"outcome=\"stopping\"", c->stopping},
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(*rows); i++)
		set_metric(d, METRIC_COUNTER, "sycamoreshore_answers_total",
			   "Answers to callers, by what they said.",
			   rows[i].labels, rows[i].val);
}

static void set_member_metrics(struct fleet_daemon *d)
{
	struct fleet_counts c;

	fleet_get_counts(cells_own(d->fleet), &c);
	set_metric(d, METRIC_GAUGE, "sycamoreshore_members",
		   "Instances that elect the driver of this instance's cell.",
		   NULL, c.members);
	set_metric(d, METRIC_GAUGE, "sycamoreshore_is_member",
		   "Whether this instance is one of them.", NULL, c.is_member);
	set_metric(d, METRIC_GAUGE, "sycamoreshore_peer_links",
		   "Other instances that this one has a link to.", NULL,
		   c.links);
	set_metric(d, METRIC_GAUGE, "sycamoreshore_capacity_starts",
		   "Starts a second that this machine can drive; zero: "
		   "unknown.",
		   NULL, c.capacity);
}

static bool has_domain(const struct drive_domains *domains, const char *name)
{
	size_t i;

	for (i = 0; i < domains->n; i++)
		if (!strcmp(domains->names[i], name))
			return true;
	return false;
}

/* Domains that are not evacuated any more are shown as zero. */
static void set_evacuated(struct fleet_daemon *d,
			  const struct drive_domains *evacuated)
{
	struct drive_domains *shown = &d->shown_evacuated;
	char labels[SYC_NAME_MAX + 16];
	size_t i;

	for (i = 0; i < evacuated->n && shown->n < DRIVE_DOMAINS_MAX; i++)
		if (!has_domain(shown, evacuated->names[i]))
			copy_text(shown->names[shown->n++], SYC_NAME_MAX,
				  evacuated->names[i]);
	for (i = 0; i < shown->n; i++) {
		snprintf(labels, sizeof(labels), "domain=\"%s\"",
			 shown->names[i]);
		set_metric(d, METRIC_GAUGE, "sycamoreshore_evacuated",
			   "Whether the failure domain's workers get no tasks.",
			   labels, has_domain(evacuated, shown->names[i]));
	}
}

static void set_evacuation_metrics(struct fleet_daemon *d)
{
	struct fleet_evacuations e;

	fleet_get_evacuations(cells_whole(d->fleet), &e);
	if (!e.is_in_use)
		return;
	set_metric(d, METRIC_GAUGE, "sycamoreshore_evacuations_age_ms",
		   "Time since the store last confirmed the evacuations, or "
		   "since the start.",
		   NULL, (uint64_t)e.age_ms);
	set_metric(d, METRIC_GAUGE, "sycamoreshore_evacuations_known",
		   "Whether the evacuations are known; if not, no task is "
		   "started.",
		   NULL, e.is_known);
	set_evacuated(d, &e.domains);
}

static void set_refusal_metrics(struct fleet_daemon *d,
				const struct drive_counts *c)
{
	const struct {
		const char *labels;
		uint64_t val;
	} rows[] = {
		{"reason=\"no_room_in_time\"", c->refused_no_room},
		{"reason=\"room_was_lost\"", c->refused_room_lost},
		{"reason=\"objective_missed\"", c->refused_objective_missed},
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(*rows); i++)
		set_metric(d, METRIC_COUNTER,
			   "sycamoreshore_jobs_refused_for_room_total",
			   "Jobs refused for want of capacity: at once, and "
			   "after a wait.",
			   rows[i].labels, rows[i].val);
}

static void set_job_metrics(struct fleet_daemon *d)
{
	struct cells_job_counts c;

	cells_get_job_counts(d->fleet, &c);
	set_metric(d, METRIC_GAUGE, "sycamoreshore_jobs_told",
		   "Jobs that other drivers have told this instance of.", NULL,
		   c.told);
	set_metric(d, METRIC_COUNTER, "sycamoreshore_jobs_moved_total",
		   "Jobs of this instance's callers that were moved to the "
		   "cell that has them.",
		   NULL, c.moved);
}

/* A metric of the driver, with the place of its value. */
struct drive_metric {
	const char *name;
	const char *help;
	size_t offset; /* in struct drive_counts */
};

static const struct drive_metric drive_counters[] = {
	{"sycamoreshore_jobs_driven_total", "Jobs handed in to this driver.",
	 offsetof(struct drive_counts, jobs)},
	{"sycamoreshore_starts_total", "Starts sent to workers.",
	 offsetof(struct drive_counts, starts)},
	{"sycamoreshore_starts_refused_total",
	 "Starts that a worker refused or that never left.",
	 offsetof(struct drive_counts, starts_refused)},
	{"sycamoreshore_starts_unanswered_total",
	 "Starts that were not answered in time.",
	 offsetof(struct drive_counts, starts_unanswered)},
	{"sycamoreshore_stops_total", "Stops sent to workers.",
	 offsetof(struct drive_counts, stops)},
	{"sycamoreshore_holds_total", "Renewals of leases sent.",
	 offsetof(struct drive_counts, holds)},
	{"sycamoreshore_starts_hedged_total",
	 "Starts whose answer took longer than usual, so that a list was "
	 "requested.",
	 offsetof(struct drive_counts, starts_hedged)},
	{"sycamoreshore_lists_due_total",
	 "Lists requested as a run's end was due.",
	 offsetof(struct drive_counts, lists_due)},
	{"sycamoreshore_holds_replaced_total",
	 "Holds sent again while their worker answered other calls.",
	 offsetof(struct drive_counts, holds_replaced)},
	{"sycamoreshore_stalls_total",
	 "Tasks stopped as they made no progress.",
	 offsetof(struct drive_counts, stalls)},
	{"sycamoreshore_behind_stops_total",
	 "Tasks stopped as their worker has turned slow.",
	 offsetof(struct drive_counts, behind_stops)},
	{"sycamoreshore_jobs_refused_late_total",
	 "Jobs refused as this driver was late.",
	 offsetof(struct drive_counts, refused_late)},
	{"sycamoreshore_jobs_waited_total",
	 "Jobs that were admitted to wait for capacity.",
	 offsetof(struct drive_counts, waited)},
	{"sycamoreshore_workers_silent_total",
	 "Times that a worker stopped answering.",
	 offsetof(struct drive_counts, silences)},
	{"sycamoreshore_workers_restarted_total",
	 "Times that a worker began again under its name.",
	 offsetof(struct drive_counts, restarts)},
	{"sycamoreshore_runs_lost_total",
	 "Runs that were lost with their worker.",
	 offsetof(struct drive_counts, runs_lost)},
	{"sycamoreshore_jobs_redirected_total",
	 "Submissions of jobs that another cell has.",
	 offsetof(struct drive_counts, redirected)},
	{"sycamoreshore_jobs_asked_total",
	 "Jobs that the other cells were asked for.",
	 offsetof(struct drive_counts, asked)},
	{"sycamoreshore_runs_outlived_total",
	 "Runs that outlived their job, as no stop ended them.",
	 offsetof(struct drive_counts, runs_outlived)},
	{"sycamoreshore_jobs_given_up_total",
	 "Jobs with a task that crashed workers, or was lost too often.",
	 offsetof(struct drive_counts, given_up)},
	{"sycamoreshore_exclusive_starts_total",
	 "Starts of tasks on a worker of their own.",
	 offsetof(struct drive_counts, exclusive_starts)},
	{"sycamoreshore_ejections_total",
	 "Times that a worker was passed over for a while.",
	 offsetof(struct drive_counts, ejections)},
	{"sycamoreshore_adopted_total",
	 "Runs taken over from an earlier driver.",
	 offsetof(struct drive_counts, adopted)},
	{"sycamoreshore_ends_done_total", "Tasks that ended well.",
	 offsetof(struct drive_counts, ends_done)},
	{"sycamoreshore_ends_failed_total", "Tasks that failed.",
	 offsetof(struct drive_counts, ends_failed)},
	{"sycamoreshore_ends_other_total",
	 "Runs stopped, lapsed or proved never begun.",
	 offsetof(struct drive_counts, ends_other)},
};

static const struct drive_metric drive_gauges[] = {
	{"sycamoreshore_jobs_waiting",
	 "Jobs of this driver with a task that waits.",
	 offsetof(struct drive_counts, queued)},
	{"sycamoreshore_runs", "Runs on workers.",
	 offsetof(struct drive_counts, running)},
	{"sycamoreshore_workers", "Workers known.",
	 offsetof(struct drive_counts, workers)},
	{"sycamoreshore_workers_usable",
	 "Workers that answer and are not leaving.",
	 offsetof(struct drive_counts, workers_usable)},
	{"sycamoreshore_worker_factor_min_percent",
	 "Run times on the fastest of them, relative to a usual worker; zero: "
	 "unknown.",
	 offsetof(struct drive_counts, factor_min_percent)},
	{"sycamoreshore_worker_factor_max_percent",
	 "Run times on the slowest of them, relative to a usual worker; zero: "
	 "unknown.",
	 offsetof(struct drive_counts, factor_max_percent)},
	{"sycamoreshore_workers_slowed",
	 "Workers that are slower than they usually are, or cold.",
	 offsetof(struct drive_counts, workers_slowed)},
};

static void set_drive_row(struct fleet_daemon *d, enum metric_kind kind,
			  const struct drive_metric *m,
			  const struct drive_counts *c)
{
	uint64_t val;

	memcpy(&val, (const char *)c + m->offset, sizeof(val));
	set_metric(d, kind, m->name, m->help, NULL, val);
}

static void set_drive_metrics(struct fleet_daemon *d)
{
	struct drive_counts c;
	size_t i;

	drive_get_counts(fleet_get_drive(cells_own(d->fleet)), &c);
	set_refusal_metrics(d, &c);
	for (i = 0; i < sizeof(drive_counters) / sizeof(*drive_counters); i++)
		set_drive_row(d, METRIC_COUNTER, &drive_counters[i], &c);
	for (i = 0; i < sizeof(drive_gauges) / sizeof(*drive_gauges); i++)
		set_drive_row(d, METRIC_GAUGE, &drive_gauges[i], &c);
}

void fleet_metrics_refresh(struct fleet_daemon *d)
{
	uint64_t sent, received;

	peer_links_traffic(d->peers, &sent, &received);
	set_metric(d, METRIC_COUNTER, "sycamoreshore_peer_sent_bytes_total",
		   "Bytes sent to other instances.", NULL, sent);
	set_metric(d, METRIC_COUNTER, "sycamoreshore_peer_received_bytes_total",
		   "Bytes received from other instances.", NULL, received);
	set_metric(d, METRIC_GAUGE, "sycamoreshore_peer_unsent_bytes",
		   "Bytes that wait on the links to other instances.", NULL,
		   peer_links_unsent(d->peers));
	set_metric(d, METRIC_COUNTER, "sycamoreshore_platform_calls_total",
		   "Calls to the platform's store, watches included.", NULL,
		   platform_store_calls(d->store));
	set_metric(d, METRIC_COUNTER, "sycamoreshore_log_dropped_total",
		   "Log lines that could not be written.", NULL, log_dropped());
	set_metric(d, METRIC_COUNTER, "sycamoreshore_log_left_out_total",
		   "Log lines about jobs left out to keep to lines_per_s.",
		   NULL, log_left_out());
	set_metric(d, METRIC_GAUGE, "sycamoreshore_jobs_open",
		   "Jobs of callers not yet answered.", NULL,
		   cells_open_jobs(d->fleet));
	set_metric(d, METRIC_GAUGE, "sycamoreshore_config_version",
		   "Version of the configuration in force; zero for none.",
		   NULL, d->routes.version);
	set_metric(d, METRIC_GAUGE, "sycamoreshore_config_age_ms",
		   "Time since the store last confirmed the configuration, or "
		   "since the start.",
		   NULL, (uint64_t)cells_config_age_ms(d->fleet));
	set_metric(d, METRIC_GAUGE, "sycamoreshore_epoch",
		   "Epoch of the driver that is followed; zero for none.", NULL,
		   fleet_epoch(cells_own(d->fleet)));
	set_metric(d, METRIC_GAUGE, "sycamoreshore_drives",
		   "Whether this instance drives the workers.", NULL,
		   fleet_is_driver(cells_own(d->fleet)));
	set_metric(d, METRIC_GAUGE, "sycamoreshore_cells",
		   "Cells that the fleet is divided into; zero: it is not.",
		   NULL, cells_count(d->fleet));
	set_answer_metrics(d);
	set_member_metrics(d);
	set_evacuation_metrics(d);
	set_job_metrics(d);
	set_drive_metrics(d);
}

void fleet_metrics_histograms(struct fleet_daemon *d, struct buf *out)
{
	static const char answer[] = "sycamoreshore_answer_seconds";
	struct drive_counts c;

	drive_get_counts(fleet_get_drive(cells_own(d->fleet)), &c);
	histogram_render(&d->served_ms, answer,
			 "From a job's arrival until its answer.",
			 "outcome=\"ended\"", out);
	histogram_render(&d->refused_ms, answer, NULL, "outcome=\"given_up\"",
			 out);
	histogram_render(&c.begin_delay, "sycamoreshore_begin_delay_seconds",
			 "From a job's arrival until this driver began it.",
			 NULL, out);
	histogram_render(&d->turns.durations, "sycamoreshore_loop_turn_seconds",
			 "Time without reading events, by turn of the loop.",
			 NULL, out);
}
