#!/bin/sh
# Guards against a fleet that stops serving, or runs a task twice, when its
# driver changes: three instances use leased workers of the platform's
# stand-in. The driver is killed, the store is down, the next driver stops as
# planned. Jobs must be served again within seconds, and no task may ever have
# two runs at the same time.
. "$(dirname "$0")/case.sh"

. "$(dirname "$0")/fleet_lib.sh"

start_platform 6
start_instance a d0
start_instance b d1
start_instance c d0
for i in a b c
do
	wait_ready $i
	wait_served $i
	expect "a job at $i" 200 "$(job $i)"
done
expect "an unknown queue" 404 \
	"$(ask GET "$(cat "$DIR/a.callers")" /none/ | head -1)"
expect "a body that is no job" 400 \
	"$(ask POST "$(cat "$DIR/a.callers")" /quick/00000000000000ff \
		--body '{}' | head -1)"
expect "a job that must be stored" 503 \
	"$(ask POST "$(cat "$DIR/a.callers")" /quick/00000000000000fe \
		--body '{"taskSpec":"x","steps":[{"count":1}]}' | head -1)"
d=$(driver a b c)
[ -n "$d" ] || die "no instance is the driver"
kill -KILL "$(pid_of "$d")"
rest=$(echo a b c | tr ' ' '\n' | grep -v "$d")
for i in $rest
do
	wait_served "$i"
done
ask PUT "$STORE" "/standin/knobs?down=1" >/dev/null
for i in $rest
do
	expect "a job at $i without the store" 200 "$(job "$i")"
done
ask PUT "$STORE" "/standin/knobs?down=0" >/dev/null
d=$(driver $rest)
last=$(echo "$rest" | grep -v "$d")
kill -TERM "$(pid_of "$d")"
wait_served "$last"
wait_gone "$(pid_of "$d")" || die "$d did not stop in $WAIT_S s"
wait "$(pid_of "$d")"
expect "the exit of $d" 0 $?
wait_served "$last"
expect "tasks with two runs at one time" 0 "$(counts twice)"
pass
