#!/bin/sh
# Guards against a fleet that stops serving, or runs a task twice, when its
# driver changes: three instances use leased workers of the platform's
# stand-in. The driver is killed, the store is down, the next driver stops as
# planned. Jobs must be served again within seconds, and no task may ever have
# two runs at the same time.
. "$(dirname "$0")/case.sh"

JOBS_MS=3000
n_jobs=0

start_platform() {
	spawn platform "$STANDIN" fleet --workers 6 --run-ms 60
	wait_for "$DIR/platform.out" listening "$(pid_of platform)" ||
		die "the platform's stand-in did not start"
	STORE=$(sed -n 's/^listening //p' "$DIR/platform.out")
}

# start_instance NAME DOMAIN
start_instance() {
	cat >"$DIR/$1.conf" <<-END
	[instance]
	name = $1
	domain = $2
	[listen]
	callers = 127.0.0.1:0
	peers = 127.0.0.1:0
	admin = 127.0.0.1:0
	[cluster]
	name = process test
	[platform]
	store = $STORE
	END
	spawn "$1" "$SHORE" fleet --settings "$DIR/$1.conf"
	wait_for "$DIR/$1.out" callers_port= "$(pid_of "$1")" ||
		die "$1 did not start"
	for which in callers admin
	do
		sed -n "s/.*${which}_port=\([0-9]*\).*/127.0.0.1:\1/p" \
			"$DIR/$1.out" | tail -1 >"$DIR/$1.$which"
	done
}

# wait_ready NAME: waits until /readyz of the instance answers 200.
wait_ready() {
	left=$((WAIT_S * 20))
	until ask GET "$(cat "$DIR/$1.admin")" /readyz | grep -q '^200'
	do
		left=$((left - 1))
		[ "$left" -gt 0 ] || die "$1 is not ready after $WAIT_S s"
		sleep 0.05
	done
}

# job NAME: submits a job of four tasks and prints the answer's status.
job() {
	n_jobs=$((n_jobs + 1))
	ask POST "$(cat "$DIR/$1.callers")" \
		"/quick/$(printf '%016x' $n_jobs)" --body \
		'{"taskSpec":"x","bestEffort":true,"steps":[{"count":4,"cpu":8000,"memMb":64,"estimatedMs":60}]}' |
		head -1
}

# wait_served NAME: waits until a job is served; jobs may be refused before.
wait_served() {
	left=$((WAIT_S * 5))
	until [ "$(job "$1")" = 200 ]
	do
		left=$((left - 1))
		[ "$left" -gt 0 ] || die "$1 serves no job after $WAIT_S s"
		sleep 0.2
	done
}

# driver NAME...: the first of these instances that is the driver.
driver() {
	for i in "$@"
	do
		ask GET "$(cat "$DIR/$i.admin")" /metrics |
			grep -q '^sycamoreshore_drives 1' && echo "$i"
	done | head -1
}

# counts MEMBER: a count of the platform's stand-in.
counts() {
	ask GET "$STORE" /standin/counts | sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"
}

start_platform
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
