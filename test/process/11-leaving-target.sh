#!/bin/sh
# Guards against work for a draining target: two seconds after the platform's
# list shows the target in maintenance it must receive no new task, and no
# request may fail because of it.
. "$(dirname "$0")/case.sh"

start_small 4
run_load --profile test/process/mixed.ini --seconds 6 --strict &
load=$!
sleep 1
ask PUT "$STORE" "/v1/agent/service/maintenance/ta-1?enable=true" \
	>/dev/null
sleep 2
ask PUT "$(target_addr ta 1)" "/standin/knobs?leaving=1" >/dev/null
wait $load ||
	die "load: $(load_summary)"
expect "starts on the leaving target" 0 "$(count ta targets starts_leaving)"
pass
