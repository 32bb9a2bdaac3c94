#!/bin/sh
# Guards against what is known of a worker outliving it: workers crash and start
# again under their ids, with ends counted from one and a clock of their own.
# The task that crashes them is given up, and jobs are served after that, by the
# workers that were there before.
. "$(dirname "$0")/case.sh"

. "$(dirname "$0")/fleet_lib.sh"

# restarts NAME: workers that the instance has seen start again.
restarts() {
	ask GET "$(cat "$DIR/$1.admin")" /metrics |
		sed -n 's/^sycamoreshore_workers_restarted_total \([0-9]*\).*/\1/p'
}

ID=000000000badc0de
PLATFORM_OPTIONS=--same-ids
start_platform 2
start_instance a d0
start_instance b d1
wait_ready a
wait_ready b
wait_served a
# Both workers have ended runs, so their cursors are not zero.
for i in 1 2 3 4
do
	expect "a job before the crashes" 200 "$(job a)"
done
answer=$(ask POST "$(cat "$DIR/a.callers")" /quick/$ID \
	--header "Deadline-Remaining-Ms: 20000" \
	--body '{"taskSpec":"crash","bestEffort":true,"steps":[{"count":1,"cpu":8000,"memMb":64,"estimatedMs":60}]}')
expect "the status" 200 "$(echo "$answer" | head -1)"
expect "the state" 1 "$(echo "$answer" | grep -c '"failed"')"
wait_served a
for i in 1 2 3 4
do
	expect "a job at a" 200 "$(job a)"
	expect "a job at b" 200 "$(job b)"
done
d=$(driver a b)
expect "restarts that the driver has seen" 2 "$(restarts "$d")"
expect "tasks with two runs at one time" 0 "$(counts twice)"
expect "starts over the budget" 0 "$(counts over_budget)"
pass
