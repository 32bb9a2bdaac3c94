#!/bin/sh
# Measures entries on loopback: measure-entry.sh BUILD PART [RUNS]
#   added       response time added to that of a direct call to the target
#   added-keyed the same with idempotency keys, which a backup confirms
#   starts      task starts per second of one entry, and its memory
#   idle        processor time, sent bytes, store calls and memory of four
#               idle entries
cd "$(dirname "$0")/../.." || exit 2
BUILD=${1:-build}
part=$2
runs=${3:-5}
. test/process/lib.sh
trap 'stop_all; rm -rf "$DIR"' EXIT
trap 'exit 130' INT TERM HUP PIPE

# ticks NAME: the processor time of a process in clock ticks of 10 ms.
ticks() {
	awk '{ print $14 + $15 }' "/proc/$(pid_of "$1")/stat"
}

resident_kb() {
	awk '$1 == "VmRSS:" { print $2 }' "/proc/$(pid_of "$1")/status"
}

# metric NAME METRIC: the sum of a metric's values over its labels.
metric() {
	ask GET "$(addr_of "$1" admin)" /metrics |
		awk -v m="$2" '$1 == m || index($1, m "{") == 1 { n += $2 }
			END { print n + 0 }'
}

# warm_up: waits until every entry has answered a job.
warm_up() {
	for e in $ENTRIES
	do
		jobs $e submit --kind proof warm >/dev/null ||
			die "$e did not complete a job"
	done
}

# added PROFILE: half of the sends go directly to a target in the same run.
added() {
	start_small 4
	warm_up
	for run in $(seq "$runs")
	do
		"$SHORE" load --entry "$(addrs callers)" \
			--tokens "$DIR/tokens" --profile "$1" --seed "$run" \
			--direct "$(target_addr ta 1),$(target_addr ta 2)" \
			--rate 400 --seconds 10 --strict || exit 1
		echo
	done
}

starts() {
	start_store
	start_targets ta 8 a
	start_entry e1 a a-r1
	write_bundle 1 a
	roll_bundle e1
	wait_ready
	warm_up
	for run in $(seq "$runs")
	do
		before=$(ticks e1)
		run_load --profile test/process/bulk.ini --in-flight 8 \
			--submissions 4000 --seed "$run" --strict ||
			die "load: $(load_summary)"
		after=$(ticks e1)
		awk -v t="$(load_number tasks)" -v s="$(load_number seconds)" \
			-v c=$((after - before)) -v m="$(resident_kb e1)" \
			'BEGIN {
				printf "%d tasks in %.2f s: %.0f starts/s, ",
					t, s, t / s
				printf "%.0f%% of a core, ", c / s
				printf "%.1f us a task, ", c * 10000 / t
				printf "%d kB resident\n", m
			}'
	done
}

idle() {
	sent=sycamoreshore_peer_sent_bytes_total
	calls=sycamoreshore_platform_calls_total
	start_cluster
	sleep 5
	for run in $(seq "$runs")
	do
		for e in $ENTRIES
		do
			eval "cpu_$e=$(ticks $e)"
			eval "out_$e=$(metric $e $sent)"
			eval "calls_$e=$(metric $e $calls)"
		done
		sleep 20
		for e in $ENTRIES
		do
			eval "cpu=\$cpu_$e out=\$out_$e call=\$calls_$e"
			now=$(metric $e $sent)
			awk -v e=$e -v c=$(($(ticks $e) - cpu)) \
				-v b=$((now - out)) -v m="$(resident_kb $e)" \
				-v p=$(($(metric $e $calls) - call)) \
				'BEGIN {
					printf "%s: %.2f%% of a core, ", e,
						c / 20
					printf "%.0f bytes/s sent to peers, ",
						b / 20
					printf "%.2f store calls/s, ", p / 20
					printf "%d kB resident\n", m
				}'
		done
	done
}

case $part in
added) added test/process/one.ini ;;
added-keyed) added test/process/one-keyed.ini ;;
starts) starts ;;
idle) idle ;;
*)
	say "usage: measure-entry.sh BUILD added|added-keyed|starts|idle [RUNS]"
	exit 2
	;;
esac
