#!/bin/sh
# In a copy of the source, removes the rules that prevent a task from running
# twice, or a configuration from being late, one rule at a time, and runs the
# fleet model with the seeds 1 to LAST_SEED each time. If no seed finds a fault
# without a rule, the rule is unnecessary or the model does not exercise it.
#
#	rules-out.sh [LAST_SEED [WORDS]]
#
# WORDS: only the rules whose description has them. The environment selects the
# runs as it does for build/unit fleet_random.
set -e
cd "$(dirname "$0")/../.."
last_seed=${1:-600}
words=${2:-}
dir=$(mktemp -d "${TMPDIR:-/tmp}/sycamoreshore-rules.XXXXXX")
trap 'rm -rf "$dir"' EXIT
git clone -q . "$dir/src"
cd "$dir/src"

# try_without RULE FILE SED_SCRIPT: prints how many seeds find a fault after the
# script has removed the rule from the file. Without a FILE nothing is removed.
try_without() {
	case $1 in
	*"$words"*) ;;
	*) return 0 ;;
	esac
	git checkout -q .
	if [ -n "$2" ]
	then
		sed -i "$3" "$2"
		if git diff --quiet
		then
			echo "rules-out: '$1' changes nothing in $2" >&2
			exit 1
		fi
	fi
	make -s -j8 build/unit WARN=-w >/dev/null 2>&1
	parts=8
	i=0
	while [ $i -lt $parts ]
	do
		FLEET_SEEDS="$((last_seed * i / parts + 1)) \
			$((last_seed * (i + 1) / parts))" \
			build/unit fleet_random 2>/dev/null |
			grep '^fleet seed' >"$dir/found.$i" &
		i=$((i + 1))
	done
	wait
	found=$(cat "$dir"/found.* | sort -u)
	printf '%-66s %s plain, %s mixed, %s divided, %s crashing of %s\n' \
		"$1" \
		"$(echo "$found" | grep -c '[0-9]:')" \
		"$(echo "$found" | grep -c 'mixed:')" \
		"$(echo "$found" | grep -c 'divided:')" \
		"$(echo "$found" | grep -c 'crashing:')" "$last_seed"
}

try_without "none: all rules are in place" "" ""
try_without "an unanswered start stays pending until a hold resolves it" \
	src/drive/run_calls.c \
	's/^	hold_probe(d, w, now);$/	run_finish(d, r, DRIVE_RUN_OTHER, now);/'
try_without "the lease of an unresponsive worker is not renewed" \
	src/drive/hold.c \
	's/ && !w->unresponsive_since && / \&\& /'
try_without "the lease of a worker with orphaned runs is not renewed" \
	src/drive/hold.c \
	's/ && !w->n_orphans)/)/'
try_without "a lease is counted from the last hold sent, not answered" \
	src/drive/hold.c \
	's/now > w->lease_expired_at)/w->lease_held_until \&\& now > w->lease_held_until + 110)/'
try_without "an earlier driver may have renewed the lease of an adopted run" \
	src/drive/run.c \
	's/^	worker_assume_renewed(d, w, now);$//'
try_without "a resubmitted job waits until all workers confirm the fence" \
	src/drive/admit.c \
	's/^	if (!j->may_have_runs || now >= j->settled_at)$/	if (true)/'
try_without "a resubmitted job needs run lists of after its submission" \
	src/drive/admit.c \
	's/worker_may_hide_runs(d, w, j->submitted_at, now)/worker_may_hide_runs(d, w, 0, now)/'
try_without "an unresponsive worker must confirm the fence again" \
	src/drive/hold.c \
	'/unresponsive_since = now;/,/confirmed_fence/ s/^	w->confirmed_fence = 0;$//'
try_without "nothing starts for a home that is unreachable" \
	src/fleet/fleet.c \
	's/^	return home == f->opt.self.id || .*/	return true;/'
try_without "the jobs of a home without heartbeats are cancelled" \
	src/fleet/heartbeat.c \
	's/^	drive_cancel_home(f->drive, now, p->instance.id);$//'
try_without "messages that waited during a pause are not trusted" \
	src/fleet/fleet.c \
	's/PAUSED_MS = 200/PAUSED_MS = 2000000000/'
try_without "a cell that does not know a job's outcome keeps the job" \
	src/fleet/cell_jobs.c \
	's/answer->outcome != FLEET_NOT_RUN || //'
try_without "told: other drivers hear which jobs a driver has" \
	src/fleet/open_jobs_tell.c \
	's/^			cells_send_to_driver(&c->cells\[i\], &w);$/			;/'
try_without "told: members of the fleet hear which jobs their driver has" \
	src/fleet/open_jobs_tell.c \
	's/^	send_to_members(t->own->fleet, &w);$//'
try_without "told: runs that outlast their jobs are told of" \
	src/drive/elsewhere.c \
	's/if (!r->job \&\& r->state != RUN_ENDED)/if (false)/'
try_without "told: an incomplete list forgets nothing" \
	src/fleet/open_jobs_tell.c \
	's/^	if (!is_complete)$/	if (false)/'
try_without "told: a job that an earlier driver had waits for all lists" \
	src/drive/elsewhere.c \
	's/d->opt.find_told(d->opt.ctx, j->id, &cell)/false/'
try_without "told: a job that may be old is asked for" \
	src/drive/elsewhere.c \
	's/^	return !spec->generation \&\& !spec->may_be_old \&\&$/	return true || /'
try_without "told: a new driver asks for each job until it is told" \
	src/fleet/job_query.c \
	's/^	return !has_told(cell, now) \&\&$/	return false \&\&/'
try_without "told: a driver that was paused or silent asks again" \
	src/drive/elsewhere.c \
	's/^	ask_cells(d, LIST_ITEM(pos, struct job, all_link), false);$/	;/'
try_without "told: one of two cells that have begun a job gives way" \
	src/drive/elsewhere.c \
	's/^	if (!j->n_active || yields) {$/	if (!j->n_active) {/'
try_without "told: a driver dials the members of a cell that it does not hear" \
	src/fleet/cell_reports.c \
	's/^		dial_members(c, now);$//'
try_without "told: an open job moves with its cell's driver" \
	src/fleet/cell_reports.c \
	's/^			election_dial_driver(cell->fleet, now);$/			;/'
try_without "epochs of a cell are above those of the whole fleet" \
	src/fleet/cells.c \
	's/whole->map.cells\[number\], whole->epoch, now/whole->map.cells[number], 0, now/'
try_without "a domain is cut off only if no other domain answers" \
	src/fleet/isolated.c \
	's/if (!f->has_probe_answer && /if (/'
try_without "reads prove that a watch has missed no change" \
	src/fleet/key_watch.c \
	's/^	return !w->is_known || w->wants_read || w->is_unreachable ||$/	return !w->is_known || w->is_unreachable; return/'
try_without "the configuration is sent to peers that lack it" \
	src/fleet/heartbeat.c \
	's/^	config_sync_send(f, now, p);$//'
try_without "the driver tells its peers of lost runs" \
	src/fleet/fleet.c 's/^	losses_sync_tick(f, now);$//'
try_without "lost runs are kept in the store" \
	src/fleet/fleet.c 's/^	losses_store_tick(f, now);$//'
try_without "a loss is a crash only if connections were refused" \
	src/drive/losses.c 's/ || (x->refused && x->seen))/ || x->seen)/'
try_without "a loss is a crash only if the run was seen there lately" \
	src/drive/lost_runs.c 's/^	return now - seen_at <= SEEN_LATELY_MS;/	return true;/'
try_without "a worker that answers again has not crashed" \
	src/drive/hold.c 's/^	losses_explain(d->losses, \&w->info, LOSS_OTHER);$//'
try_without "no start while two losses are not explained" \
	src/drive/losses.c 's/wait && n_crashes + n_open >= CRASHES_MAX/false/'
