#!/bin/sh
# Guards against a planned stop that closes the channel of a request without an
# answer: an instance gets SIGTERM while a job of its client waits for capacity
# or runs. What can't end before the stop is answered before it: 503 if no task
# was started, and at once where that is known; otherwise 502. What can end is
# waited for. The instance doesn't drive, or is the driver itself.
. "$(dirname "$0")/case.sh"
. "$(dirname "$0")/fleet_lib.sh"

ALL="a b c"
TASKS=8 # two on each of the four workers, which are full then
n_long=0

# submit REQUEST INSTANCE MS: sends a job that needs all workers for so long.
# Its answer goes to REQUEST.out, and the time when it came to REQUEST.time.
submit() {
	n_long=$((n_long + 1))
	cat >"$DIR/$1.sh" <<-END
	"$STANDIN" ask --header 'Deadline-Remaining-Ms: 60000' --body \
		'{"taskSpec":"run $3","bestEffort":true,"steps":[{"count":$TASKS,"cpu":8000,"memMb":64,"estimatedMs":$3}]}' \
		POST "$(cat "$DIR/$2.callers")" \
		"/quick/$(printf 'eeee%012x' $n_long)"
	date +%s%3N >"$DIR/$1.time"
	END
	spawn "$1" sh "$DIR/$1.sh"
}

# answer REQUEST: waits for the answer and prints its status.
answer() {
	wait_gone "$(pid_of "$1")" && head -1 "$DIR/$1.out"
}

# begin FIRST_MS SECOND_MS HOME_DRIVES: a job takes all workers, and another one
# waits at the instance that is to be stopped, HOME.
begin() {
	for i in $ALL
	do
		wait_served $i
	done
	DRIVER=$(driver $ALL)
	HOME_NAME=$(echo $ALL | tr ' ' '\n' | grep -v "$DRIVER" | head -1)
	[ "$3" = no ] || HOME_NAME=$DRIVER
	OTHER=$(echo $ALL | tr ' ' '\n' | grep -v "$DRIVER" | tail -1)
	submit first "$OTHER" "$1"
	sleep 0.5
	submit second "$HOME_NAME" "$2"
	sleep 0.5
	is_running "$(pid_of second)" ||
		die "the second job does not wait: $(head -1 "$DIR/second.out")"
	started=$(counts starts)
	TERM_AT=$(date +%s%3N)
	kill -TERM "$(pid_of "$HOME_NAME")"
}

# after REQUEST: the time from SIGTERM to the answer.
after() {
	echo $(($(cat "$DIR/$1.time") - TERM_AT))
}

# restart: waits for the first job's answer; the instance begins again.
restart() {
	wait_gone "$(pid_of "$HOME_NAME")" || die "$HOME_NAME did not stop"
	expect "the first job" 200 "$(answer first)"
	start_instance "$HOME_NAME" d0
	wait_ready "$HOME_NAME"
}

start_platform 4
for i in $ALL
do
	start_instance $i d0
done
for i in $ALL
do
	wait_ready $i
done

for drives in no yes
do
	CASE="drives: $drives"
	begin 7000 8000 $drives
	expect "$CASE: a job that runs for too long" 503 "$(answer second)"
	[ "$(after second)" -lt 1000 ] ||
		die "$CASE: it was refused after $(after second) ms"
	restart
	expect "$CASE: starts after the refusal" "$started" "$(counts starts)"
done

# It would run for 4 s, and begin 4 s after SIGTERM; the stop takes 5.5 s.
begin 5000 4000 no
expect "a job that begins too late" 503 "$(answer second)"
[ "$(after second)" -lt 1000 ] ||
	die "a job that begins too late was refused after $(after second) ms"
restart

begin 2000 500 no
expect "a job that ends in time" 200 "$(answer second)"
restart

# The first job runs, and its own instance is stopped.
wait_served "$OTHER"
submit first "$OTHER" 9000
sleep 0.5
TERM_AT=$(date +%s%3N)
kill -TERM "$(pid_of "$OTHER")"
expect "a job that runs" 502 "$(answer first)"
[ "$(after first)" -ge 5000 ] ||
	die "a job that runs was broken off after $(after first) ms"
wait_gone "$(pid_of "$OTHER")" || die "$OTHER did not stop"
expect "tasks with two runs at one time" 0 "$(counts twice)"
pass
