#!/bin/sh
# DRAIN: a new driver starts tasks on a worker that has been draining for long, as it
# uses the list of workers of the driver before it, which was cut off from the store.
HERE=$(cd "$(dirname "$0")" && pwd)
RECORD=$HERE/record.txt
cd "$HERE/../.." || exit 2
. review/lib-2.sh

ALL="a b c d"
DRAIN_MS=2000
n_sent=0

# entry STATE: what worker w1 says of itself in the store.
entry() {
	printf '{"service":"s","address":"127.0.0.1:%s","zone":"d1","version":"v1","slots":8,"state":"%s","coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":65536,"gpu":0},"labels":["a","r1-1"],"sequence":1%s}' \
		"$W1" "$1" "$2" >"$DIR/entry"
	ask PUT "$STORE" '/standin/entry?key=servers/w1' --file "$DIR/entry" |
		head -1
}

# traffic MS: some 30 jobs a second of two tasks of 200 ms, to the instances in turn.
traffic() {
	end=$(($(now_ms) + $1))
	while [ "$(now_ms)" -lt $end ]
	do
		n_sent=$((n_sent + 1))
		id=$(printf '%016x' $n_sent)
		set -- $ALL
		shift $((n_sent % 4))
		at=$1
		(
			answer=$(ask POST "$(cat "$DIR/$at.callers")" "/quick/$id" \
				-H 'Deadline-Remaining-Ms: 1500' \
				--body "$(the_job 2 200)" | tr '\n' ' ')
			note "job $id at $at: $answer"
		) &
		sleep 0.02
	done
}

start_platform --workers 8 --domains 4
for i in $ALL
do
	spawn store-$i build/proxy-2 "${STORE#*:}" 4
	wait_line "$DIR/store-$i.out" '^proxy' || finish 2 "no proxy"
	sed -n 's/^proxy /127.0.0.1:/p' "$DIR/store-$i.out" >"$DIR/$i.store"
done
spawn worker build/proxy-2 "$(sed -n 's/^worker w1 //p' "$DIR/platform.out")" 0 \
	"$DIR/w1.log"
wait_line "$DIR/worker.out" '^proxy' || finish 2 "no proxy"
W1=$(sed -n 's/^proxy //p' "$DIR/worker.out")
entry ready >/dev/null
k=0
for i in $ALL
do
	start_instance $i d$k || finish 2 "$i did not start"
	k=$((k + 1))
done
wait_ready $ALL
wait_served a

driver=
for i in $ALL
do
	ask GET "$(cat "$DIR/$i.admin")" /metrics |
		grep -q '^sycamoreshore_drives 1' && driver=$i
done
[ -n "$driver" ] || finish 2 "no instance is the driver"
note "$driver is the driver"
traffic 2000
if [ "$TROUBLE" = 1 ]
then
	cut_at=$(now_ms)
	kill -STOP "$(pid_of store-$driver)"
	note "$driver is cut off from the store, silently"
fi
traffic 300
[ "$(entry draining ',"remainingMs":2000')" = 200 ] || finish 2 "no drain"
drained_at=$(now_ms)
note "the store has accepted that w1 is draining"
traffic 4000
if [ "$TROUBLE" = 1 ]
then
	kill -KILL "$(pid_of "$driver")"
	killed_at=$(now_ms)
	note "$driver is killed, $((killed_at - cut_at)) ms after the cut began"
	traffic 1000
	kill -CONT "$(pid_of store-$driver)"
	note "the cut ends"
else
	killed_at=$drained_at
fi
traffic 2000
sleep 2

# The driver that is cut off is not in touch, so what it starts does not count.
awk -v t0="$T0" -v from="$((drained_at + DRAIN_MS))" -v killed="$killed_at" '
	$2 == "start" { at = $1 }
	$2 == "answer" && $4 == 200 {
		print at - t0, "w1 began a task"
		if (at > from && at > killed)
			n++
	}
	END { print n + 0 >"/dev/stderr" }' "$DIR/w1.log" >>"$RECORD" 2>"$DIR/late"
late=$(cat "$DIR/late")
[ "$late" -eq 0 ] || finish 1 "$late tasks were started on w1 over $DRAIN_MS ms after it had said that it drains"
finish 0 "no task was started on w1 later than $DRAIN_MS ms after it had said that it drains"
