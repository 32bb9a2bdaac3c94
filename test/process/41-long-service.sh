#!/bin/sh
# Guards against a route that is answered 404, as its service has a long name. A
# job of it is refused while the service has no worker, and then served.
. "$(dirname "$0")/case.sh"
. "$(dirname "$0")/fleet_lib.sh"

LONG=print-raster-a100-80gb-sxm4-of-site-seven

# put KEY TEXT
put() {
	printf %s "$2" >"$DIR/entry"
	ask PUT "$STORE" "/standin/entry?key=$1" --file "$DIR/entry" >/dev/null
}

# job_of_long: submits a job to the route and prints the answer's status.
job_of_long() {
	n_jobs=$((n_jobs + 1))
	ask POST "$(cat "$DIR/a.callers")" "/long/$(printf '%016x' $n_jobs)" \
		--body '{"taskSpec":"x","bestEffort":true,"steps":[{"count":2,"cpu":8000,"memMb":64,"estimatedMs":60}]}' |
		head -1
}

start_platform 4
start_instance a d0
wait_ready a
wait_served a
put op/config '{"version":9,"routes":[{"name":"long","host":"127.0.0.1","prefix":"/long/","service":"'$LONG'","maxAttempts":3,"slackFactor":1.6,"targetLatencyMs":3000,"timeoutMs":5000}]}'
wait_config 9 a
expect "the route" 200 \
	"$(ask GET "$(cat "$DIR/a.callers")" /long/ | head -1)"
expect "a job of a service without workers" 503 "$(job_of_long)"

# A worker turns to the service.
port=$(sed -n 's/^worker w1 //p' "$DIR/platform.out")
put servers/w1 '{"service":"'$LONG'","address":"127.0.0.1:'"$port"'","zone":"d1","state":"ready","labels":["a"],"capacity":{"cpu":16000,"memMb":65536}}'
left=$((WAIT_S * 5))
until [ "$(job_of_long)" = 200 ]
do
	left=$((left - 1))
	[ "$left" -gt 0 ] || die "no worker of the service is found"
	sleep 0.2
done
pass
