#!/bin/sh
# Takes each rule that keeps a task from running twice out of a copy of the
# source, one at a time, and plays the fleet model: rules-out.sh [LAST_SEED]
# A rule that no seed misses is either needless or not tried by the model.
set -e
cd "$(dirname "$0")/../.."
last=${1:-600}
dir=$(mktemp -d "${TMPDIR:-/tmp}/sycamoreshore-rules.XXXXXX")
trap 'rm -rf "$dir"' EXIT
git clone -q . "$dir/src"
cd "$dir/src"

# try NAME FILE SED: prints how many seeds find a fault without the rule.
try() {
	git checkout -q .
	if [ -n "$2" ]
	then
		sed -i "$3" "$2"
		if git diff --quiet
		then
			echo "rules-out: '$1' changes nothing" >&2
			exit 1
		fi
	fi
	make -s -j8 build/unit WARN=-w >/dev/null 2>&1
	parts=8
	i=0
	while [ $i -lt $parts ]
	do
		FLEET_SEEDS="$((last * i / parts + 1)) \
			$((last * (i + 1) / parts))" \
			build/unit fleet_random 2>/dev/null |
			grep '^fleet seed' >"$dir/found.$i" &
		i=$((i + 1))
	done
	wait
	found=$(cat "$dir"/found.* | sort -u)
	printf '%-58s %s plain, %s mixed of %s\n' "$1" \
		"$(echo "$found" | grep -c '[0-9]:')" \
		"$(echo "$found" | grep -c 'mixed:')" "$last"
}

try "all rules in place" "" ""
try "a start in doubt waits for a proof" src/drive/run_calls.c \
	's/^	hold_probe(d, w, now);$/	run_finish(d, r, DRIVE_RUN_OTHER, now);/'
try "a silent worker is not prolonged" src/drive/hold.c \
	's/ && !w->unresponsive_since && / \&\& /'
try "runs that no job claims are not prolonged" src/drive/hold.c \
	's/ && !w->n_orphans)/)/'
try "a lease counts from the last call sent, not answered" \
	src/drive/hold.c \
	's/now > w->lease_expired_at)/w->lease_held_until \&\& now > w->lease_held_until + 110)/'
try "an adopted run may have been prolonged by another" src/drive/run.c \
	's/^	worker_assume_renewed(d, w, now);$//'
try "a job handed over waits for our fence everywhere" src/drive/admit.c \
	's/^	if (!j->generation || now >= j->settled_at)$/	if (true)/'
try "lists are asked for after a job was handed over" src/drive/admit.c \
	's/worker_may_hide_runs(d, w, j->submitted_at, now)/worker_may_hide_runs(d, w, 0, now)/'
try "a worker that fell silent must prove our fence again" \
	src/drive/hold.c \
	'/unresponsive_since = now;/,/confirmed_fence/ s/^	w->confirmed_fence = 0;$//'
try "nothing starts for a home that is not heard" src/fleet/fleet.c \
	's/^	return home == f->opt.self.id || .*/	return true;/'
try "jobs of a silent home are given up" src/fleet/heartbeat.c \
	's/^	drive_cancel_home(f->drive, now, p->instance.id);$//'
try "what waited while asleep is not trusted" src/fleet/fleet.c \
	's/PAUSED_MS = 200/PAUSED_MS = 2000000000/'
try "a domain is cut off only if no other is reached" src/fleet/isolated.c \
	's/if (!f->has_probe_answer && /if (/'
