#!/bin/sh
# Guards against a job that runs anywhere, as the label that it requires is long.
# It is refused while no worker has that label, and started where one has it.
. "$(dirname "$0")/case.sh"
. "$(dirname "$0")/fleet_lib.sh"

LONG=gpu.product=print-raster-a100-80gb-sxm4

# job_of LABEL: submits a job that requires the label, given in JSON, and prints
# the answer's status.
job_of() {
	n_jobs=$((n_jobs + 1))
	ask POST "$(cat "$DIR/a.callers")" "/quick/$(printf '%016x' $n_jobs)" \
		--body '{"taskSpec":"x","bestEffort":true,"steps":[{"count":4,"cpu":8000,"memMb":64,"estimatedMs":60,"requirements":'"$1"'}]}' |
		head -1
}

# put KEY TEXT
put() {
	printf %s "$2" >"$DIR/entry"
	ask PUT "$STORE" "/standin/entry?key=$1" --file "$DIR/entry" >/dev/null
}

start_platform 4
start_instance a d0
wait_ready a
wait_served a

# The workers of the stand-in have the label "a".
expect "a job with the workers' label" 200 "$(job_of '"a"')"
before=$(counts starts)
expect "a job with a long label" 503 "$(job_of "\"$LONG\"")"
expect "a job with a very long label" 503 \
	"$(job_of "\"$(printf '%03000d' 0)\"")"
expect "a job with a label that is no text" 400 "$(job_of 7)"
expect "starts of these jobs" "$before" "$(counts starts)"

# One of the workers changes its entry.
port=$(sed -n 's/^worker w1 //p' "$DIR/platform.out")
put servers/w1 '{"service":"s","address":"127.0.0.1:'"$port"'","zone":"d1","state":"ready","labels":["'$LONG'"],"capacity":{"cpu":64000,"memMb":65536}}'
left=$((WAIT_S * 5))
until [ "$(job_of "\"$LONG\"")" = 200 ]
do
	left=$((left - 1))
	[ "$left" -gt 0 ] || die "no worker with the long label is found"
	sleep 0.2
done
expect "a job with a label that differs at its end" 503 "$(job_of "\"${LONG}x\"")"
pass
