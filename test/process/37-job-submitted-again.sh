#!/bin/sh
# Guards against a job that runs twice at one time because its caller submits
# it again, 1.3 s later, to an instance of another failure domain, which has a
# driver of its own: nine instances and eighteen workers in three domains, and
# jobs of two tasks of 6 s. The first request is undisturbed, or its instance
# stands still or is killed, its caller leaves, or its driver is killed; or a
# third request follows. All cases are run, and then those that failed named.
. "$(dirname "$0")/case.sh"
. "$(dirname "$0")/fleet_lib.sh"

FLEET_SETTINGS="[cells]
fleet_workers_min = 18
workers_min = 6"
PLATFORM_OPTIONS="--domains 3"
ALL="a b c d e f g h i"
FAILURES=
n_long=0

# note WHAT: notes a failure of the case.
note() {
	FAILURES="$FAILURES $CASE: $1;"
	say "$CASE: $1"
}

# in_domain N: the instances of the domain.
in_domain() {
	case $1 in
	0) echo a b c ;;
	1) echo d e f ;;
	2) echo g h i ;;
	esac
}

# submit REQUEST INSTANCE: sends the case's job in the background; the answer
# goes to REQUEST.out.
submit() {
	spawn "$1" "$STANDIN" ask --header 'Content-Type: application/json' \
		--header 'Deadline-Remaining-Ms: 25000' --body \
		'{"taskSpec":"run 6000","bestEffort":true,"steps":[{"count":2,"cpu":8000,"memMb":64,"estimatedMs":6000}]}' \
		POST "$(cat "$DIR/$2.callers")" \
		"/quick/$(printf 'ffff%012x' $n_long)"
}

# answer REQUEST: waits for the answer and prints its status.
answer() {
	wait_gone "$(pid_of "$1")" && head -1 "$DIR/$1.out"
}

# expect_answer REQUEST PATTERN
expect_answer() {
	status=$(answer "$1")
	echo "$status" | grep -q -x -e "$2" ||
		note "the $1 request is answered '$status', not '$2'"
}

# wait_cells: waits until each domain has one driver and all instances serve.
wait_cells() {
	for domain in 0 1 2
	do
		left=$((WAIT_S * 5))
		until [ "$(drivers $(in_domain $domain) | wc -l)" -eq 1 ]
		do
			left=$((left - 1))
			[ "$left" -gt 0 ] || die "domain $domain has not one driver"
			sleep 0.2
		done
	done
	for i in $ALL
	do
		wait_served $i
	done
}

# other N: an instance of the domain that does not drive.
other() {
	in_domain "$1" | tr ' ' '\n' |
		grep -v "$(driver $(in_domain "$1"))" | head -1
}

# begin_case NAME: chooses instances that do not drive, and sends the first
# request.
begin_case() {
	CASE=$1
	n_long=$((n_long + 1))
	wait_cells
	DRIVER=$(driver $(in_domain 0))
	FIRST=$(other 0)
	SECOND=$(other 1)
	THIRD=$(other 2)
	twice_before=$(counts twice)
	submit first "$FIRST"
}

# end_case: counts the starts of tasks that were already running.
end_case() {
	n_twice=$(($(counts twice) - twice_before))
	[ "$n_twice" -eq 0 ] || note "$n_twice tasks had two runs at one time"
}

start_platform 18
for i in $ALL
do
	case $i in
	a | b | c) start_instance $i d0 ;;
	d | e | f) start_instance $i d1 ;;
	*) start_instance $i d2 ;;
	esac
done
for i in $ALL
do
	wait_ready $i
done

begin_case undisturbed
sleep 1.3
submit second "$SECOND"
expect_answer first 200
expect_answer second 200
end_case

begin_case "stands still"
sleep 0.3
kill -STOP "$(pid_of "$FIRST")"
sleep 1.3
submit second "$SECOND"
sleep 2.7
kill -CONT "$(pid_of "$FIRST")"
expect_answer second 200
expect_answer first '[1-5]..'
end_case

begin_case killed
sleep 0.3
kill -KILL "$(pid_of "$FIRST")"
sleep 1.3
submit second "$SECOND"
expect_answer second 200
end_case
start_instance "$FIRST" d0

begin_case "caller leaves"
sleep 0.3
kill -KILL "$(pid_of first)"
sleep 1.3
submit second "$SECOND"
expect_answer second 200
end_case

begin_case "driver killed"
sleep 1.1
kill -KILL "$(pid_of "$DRIVER")"
sleep 0.2
submit second "$SECOND"
expect_answer first 200
# It may be refused or unknown while there is no driver to ask.
expect_answer second '200\|50[23]'
end_case
start_instance "$DRIVER" d0

begin_case "third request"
sleep 1.3
submit second "$SECOND"
sleep 1.3
submit third "$THIRD"
expect_answer first 200
expect_answer second 200
expect_answer third 200
end_case

[ -z "$FAILURES" ] || die "${FAILURES# }"
pass
