#!/bin/sh
# Guards against a task that crashes worker after worker: it is given up as
# failed, after two crashes and before its caller's deadline, and others are
# served.
. "$(dirname "$0")/case.sh"

. "$(dirname "$0")/fleet_lib.sh"

ID=000000000badc0de
start_platform 6
start_instance a d0
start_instance b d1
wait_ready a
wait_ready b
wait_served a
answer=$(ask POST "$(cat "$DIR/a.callers")" /quick/$ID \
	--header "Deadline-Remaining-Ms: 20000" \
	--body '{"taskSpec":"crash","bestEffort":true,"steps":[{"count":2,"cpu":8000,"memMb":64,"estimatedMs":60}]}')
expect "the status" 200 "$(echo "$answer" | head -1)"
expect "the state" 1 "$(echo "$answer" | grep -c '"failed"')"
crashes=$(ask GET "$STORE" "/standin/job?id=$ID" |
	sed -n 's/.*"crashes": *\([0-9]*\).*/\1/p')
expect "workers that crashed" 2 "$crashes"
expect "a job at a" 200 "$(job a)"
expect "a job at b" 200 "$(job b)"
expect "starts over the budget" 0 "$(counts over_budget)"
pass
