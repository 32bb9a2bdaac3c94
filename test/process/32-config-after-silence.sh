#!/bin/sh
# Guards against a change of the configuration that is not in force 2 s after
# its confirmation, as watches were sent into a silence of the store.
. "$(dirname "$0")/case.sh"
. "$(dirname "$0")/fleet_lib.sh"

BOUND_S=2
# Longer than a watch and its time limit, so that a second one is lost too.
SILENCE_S=6.5

start_platform 6
for i in a b c
do
	start_instance $i d0
	wait_ready $i
done
knobs config=4
wait_config 4 a b c
sleep 1
knobs silent=1
sleep $SILENCE_S
knobs silent=0
knobs config=5
sleep $BOUND_S
for i in a b c
do
	expect "the version in force at $i" 5 "$(config_version $i)"
	expect "a job by the new route at $i" 200 "$(
		ask POST "$(cat "$DIR/$i.callers")" /v5/00000000000000f$i \
			--body '{"taskSpec":"x","bestEffort":true,"steps":[{"count":1,"cpu":8000,"memMb":64,"estimatedMs":60}]}' |
			head -1)"
done
pass
