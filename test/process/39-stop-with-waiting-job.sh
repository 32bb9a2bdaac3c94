#!/bin/sh
# Guards against a planned stop that closes the channel of a request without an
# answer: an instance gets SIGTERM while a job of its client waits for capacity
# or runs. What can't end before the stop is answered before it: 503 if no task
# was started, and at once where that is known; otherwise 502. What can end is
# waited for. The instance doesn't drive, or is the driver itself. A request whose
# last byte comes while the instance stops has an answer too, and so have a GET and
# a DELETE; the client may wait for "100 Continue", and the process may be slow or
# stand still when SIGTERM comes.
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
start_instance "$OTHER" d0
wait_ready "$OTHER"

# late REQUEST INSTANCE MS: as submit, for one small task; its last byte comes late.
late() {
	n_long=$((n_long + 1))
	cat >"$DIR/$1.sh" <<-END
	"$STANDIN" ask --pause-ms $3 --header 'Expect: 100-continue' --body \
		'{"taskSpec":"run 50","bestEffort":true,"steps":[{"count":1,"cpu":1000,"memMb":64,"estimatedMs":50}]}' \
		POST "$(cat "$DIR/$2.callers")" \
		"/quick/$(printf 'eeee%012x' $n_long)" >"$DIR/$1.raw"
	tail -n +2 "$DIR/$1.raw" | grep -o '^HTTP/1.1 [0-9]*' | cut -d' ' -f2
	date +%s%3N >"$DIR/$1.time"
	END
	spawn "$1" sh "$DIR/$1.sh"
}

# The answer after "100 Continue" is 200 or a true 503; LATE_MS is after SIGTERM.
for LATE_MS in 500 3200 4500
do
	wait_served "$OTHER"
	late late "$OTHER" $((LATE_MS + 300))
	sleep 0.3
	kill -TERM "$(pid_of "$OTHER")"
	got=$(answer late)
	case $got in
	200 | 503) ;;
	*) die "a request that is whole $LATE_MS ms after SIGTERM: '$got'" ;;
	esac
	wait_gone "$(pid_of "$OTHER")" || die "$OTHER did not stop"
	start_instance "$OTHER" d0
	wait_ready "$OTHER"
done

# A process that stands still when SIGTERM comes, and for a second after it.
for i in $ALL
do
	wait_served $i
done
DRIVER=$(driver $ALL)
HOME_NAME=$(echo $ALL | tr ' ' '\n' | grep -v "$DRIVER" | head -1)
OTHER=$(echo $ALL | tr ' ' '\n' | grep -v "$DRIVER" | tail -1)
submit first "$OTHER" 7000
sleep 0.5
submit second "$HOME_NAME" 8000
sleep 0.5
kill -STOP "$(pid_of "$HOME_NAME")"
kill -TERM "$(pid_of "$HOME_NAME")"
ask DELETE "$(cat "$DIR/$HOME_NAME.callers")" /quick/00000000000000aa \
	>"$DIR/delete.out" &
ask GET "$(cat "$DIR/$HOME_NAME.callers")" /quick/00000000000000aa \
	>"$DIR/get.out" &
sleep 1
kill -CONT "$(pid_of "$HOME_NAME")"
case $(answer second) in
502 | 503) ;;
*) die "a job of a process that stood still: '$(answer second)'" ;;
esac
wait_gone "$(pid_of "$HOME_NAME")" || die "$HOME_NAME did not stop"
for i in delete get
do
	expect_match "$i while it stops" '^\(200\|410\|503\)' \
		"$(head -1 "$DIR/$i.out")"
done
expect "tasks with two runs at one time" 0 "$(counts twice)"

# The platform sends SIGKILL after 3 s: what runs is answered before that.
FLEET_SETTINGS='
	[limits]
	grace_s = 3'
start_instance short d0
wait_ready short
wait_served short
submit first short 9000
sleep 0.5
TERM_AT=$(date +%s%3N)
kill -TERM "$(pid_of short)"
expect "a job that runs for longer than the grace period" 502 "$(answer first)"
[ "$(after first)" -lt 3000 ] ||
	die "the answer came $(after first) ms after SIGTERM"
pass
