#!/bin/sh
# Guards against a planned stop that drops requests: SIGTERM while requests
# are in flight. Each must be answered, the process must exit with 0, no task
# may start twice, and callers must be able to continue at the other entry.
. "$(dirname "$0")/case.sh"

start_small 4
run_load --profile test/process/slow.ini --submissions 80 --retries 5 \
	--strict &
load=$!
left=200
until [ "$(count ta "" starts)" -gt 10 ]
do
	left=$((left - 1))
	[ $left -gt 0 ] || die "at most 10 tasks were started in 10 s"
	sleep 0.05
done
pid=$(pid_of e1)
kill -TERM "$pid"
wait_gone "$pid" || die "e1 did not stop in $WAIT_S s after SIGTERM"
wait "$pid"
expect "exit code of the stopped entry" 0 $?
wait $load ||
	die "load: $(load_summary)"
expect "whole answers" 80 "$(load_number whole)"
expect "most starts of one body" 1 "$(count ta bodies most)"
pass
