#!/bin/sh
# Guards against a divided fleet that has one driver, loses more than one cell
# with a driver, or runs a task twice: six instances in two domains drive twelve
# leased workers. The driver of one cell is killed, that of the other stops as
# planned, and then all instances are restarted.
. "$(dirname "$0")/case.sh"
. "$(dirname "$0")/fleet_lib.sh"

FLEET_SETTINGS="[cells]
fleet_workers_min = 12
workers_min = 6"

# wait_drivers N NAME...: waits until N of the instances drive.
wait_drivers() {
	n=$1
	shift
	left=$((WAIT_S * 5))
	until [ "$(drivers "$@" | wc -l)" -eq "$n" ]
	do
		left=$((left - 1))
		[ "$left" -gt 0 ] || die "$(drivers "$@" | tr '\n' ' ')drive"
		sleep 0.2
	done
}

start_platform 12
for i in a b c
do
	start_instance $i d0
done
for i in d e f
do
	start_instance $i d1
done
for i in a b c d e f
do
	wait_ready $i
done
wait_drivers 2 a b c d e f
wait_drivers 1 a b c
wait_drivers 1 d e f
for i in a b c d e f
do
	wait_served $i
	expect "a job at $i" 200 "$(job $i)"
done
lost=$(driver a b c)
kill -KILL "$(pid_of "$lost")"
for i in d e f
do
	expect "a job in the other cell" 200 "$(job $i)"
done
rest=$(echo a b c | tr ' ' '\n' | grep -v "$lost")
wait_drivers 1 $rest
for i in $rest
do
	wait_served "$i"
done
stopped=$(driver d e f)
kill -TERM "$(pid_of "$stopped")"
wait_gone "$(pid_of "$stopped")" || die "$stopped did not stop in $WAIT_S s"
wait "$(pid_of "$stopped")"
expect "the exit of $stopped" 0 $?
rest="$rest $(echo d e f | tr ' ' '\n' | grep -v "$stopped")"
wait_drivers 2 $rest
for i in $rest
do
	wait_served "$i"
done
for i in $rest
do
	kill -KILL "$(pid_of "$i")"
done
for i in a b c
do
	start_instance $i d0
done
for i in d e f
do
	start_instance $i d1
done
wait_drivers 2 a b c d e f
for i in a b c d e f
do
	wait_served $i
done
expect "tasks with two runs at one time" 0 "$(counts twice)"
pass
