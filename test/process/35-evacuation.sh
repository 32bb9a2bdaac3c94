#!/bin/sh
# Real instances start nothing on the workers of an evacuated failure domain,
# also after their driver was killed, and use them again afterwards.
. "$(dirname "$0")/case.sh"
. "$(dirname "$0")/fleet_lib.sh"

# metric NAME METRIC: its value at the instance.
metric() {
	ask GET "$(cat "$DIR/$1.admin")" /metrics |
		sed -n "s/^$2 \([0-9]*\).*/\1/p"
}

# serve N: N jobs, one after the other, at the instance b or c.
serve() {
	left=$1
	while [ "$left" -gt 0 ]
	do
		expect "a job" 200 "$(job "$home")"
		left=$((left - 1))
	done
}

FLEET_SETTINGS="evacuation_apply_ms = 2000"
start_platform 6
for i in a b c
do
	start_instance $i d0
	wait_ready $i
done
driver=$(driver a b c)
home=b
[ "$driver" = b ] && home=c
wait_served $home
serve 3
knobs evacuate=d1
sleep 0.5
expect "the metric of the evacuated domain" 1 \
	"$(metric $home 'sycamoreshore_evacuated{domain="d1"}')"
before=$(counts evacuated_starts)
serve 5
kill -9 "$(pid_of "$driver")"
wait_served $home
serve 5
expect "starts in the evacuated domain" "$before" "$(counts evacuated_starts)"
knobs evacuate_end=d1
knobs evacuate=d0
sleep 0.5
before=$(counts evacuated_starts)
serve 5
expect "starts in the other one" "$before" "$(counts evacuated_starts)"
expect "the metric of the domain in use" 0 \
	"$(metric $home 'sycamoreshore_evacuated{domain="d1"}')"
pass
