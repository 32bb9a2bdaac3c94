#!/bin/sh
# Fault: the driver never hands back the processor. While all workers are full, it
# plans for a job whose tasks request nothing, and the plan never ends.
HERE=$(cd "$(dirname "$0")" && pwd)
RECORD=$HERE/record.txt
cd "$HERE/../.." || exit 2
. review/lib-2.sh

ALL="a b c d"
USUAL_GAP=0.25 # s between two usual jobs: three quarters of the capacity
BURST_GAP=0.132 # the same in the burst, 1.9 times as many
n_sent=0

route() {
	printf '{"name":"%s","host":"127.0.0.1","prefix":"/%s/","service":"s","priority":%d,"maxAttempts":3,"slackFactor":1.6,"targetLatencyMs":3000,"timeoutMs":5000}' \
		"$1" "$1" "$2"
}

# send QUEUE REQUEST: submits a job of two tasks, each with that request, to one of
# the instances in turn, in the background.
send() {
	queue=$1
	request=$2
	n_sent=$((n_sent + 1))
	id=$(printf '%016x' $n_sent)
	set -- $ALL
	shift $((n_sent % 4))
	at=$1
	(
		answer=$(ask POST "$(cat "$DIR/$at.callers")" "/$queue/$id" \
			-H 'Deadline-Remaining-Ms: 5000' \
			--body "{\"taskSpec\":\"run 1500\",\"bestEffort\":true,\"steps\":[{\"count\":2,$request\"estimatedMs\":1500}]}" |
			tr '\n' ' ')
		note "job $id of /$queue/ at $at: $answer"
	) &
}

# Two tasks fill a worker.
proof() {
	send proof '"cpu":8000,"memMb":32768,'
}

# Its tasks request nothing: members that are zero are left out.
mail() {
	send mail ''
}

# traffic MS GAP: proofs, and with every fourth a mail.
traffic() {
	end=$(($(now_ms) + $1))
	while [ "$(now_ms)" -lt $end ]
	do
		proof
		[ $((n_sent % 5)) -ne 4 ] || mail
		sleep "$2"
	done
}

start_platform --workers 8 --domains 4
printf '{"version":9,"routes":[%s,%s]}' "$(route proof 0)" "$(route mail 1)" \
	>"$DIR/config"
ask PUT "$STORE" '/standin/entry?key=op/config' --file "$DIR/config" >/dev/null
k=0
for i in $ALL
do
	start_instance $i d$k || finish 2 "$i did not start"
	k=$((k + 1))
done
wait_ready $ALL
note "usual traffic"
traffic 8000 $USUAL_GAP
if [ "$TROUBLE" = 1 ]
then
	note "burst: 1.9 times the usual traffic for 3.5 s"
	traffic 3500 $BURST_GAP
	note "the burst is over"
fi
traffic 8000 $USUAL_GAP
sleep 6

# Each instance has to answer the platform's question for its readiness.
hung=
for i in $ALL
do
	(is_ready $i && note "$i is ready" || note "$i is not ready") &
	asked=$!
	PIDS="$PIDS $asked"
	left=100
	while is_running $asked && [ $left -gt 0 ]
	do
		left=$((left - 1))
		sleep 0.1
	done
	is_running $asked || continue
	before=$(awk '{print $14 + $15}' "/proc/$(pid_of $i)/stat")
	sleep 2
	used=$(($(awk '{print $14 + $15}' "/proc/$(pid_of $i)/stat") - before))
	note "$i has not answered GET /readyz in 10 s; it used $used ticks of the processor in the next 2 s"
	hung="$hung $i"
done
[ -z "$hung" ] || finish 1 "these instances hang:$hung"
finish 0 "all instances answer"
