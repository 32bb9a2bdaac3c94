#!/bin/sh
# Guards against an entry that cannot start before the store: it must report
# the reason in /readyz, refuse jobs as not ready, and serve them as soon as
# the store is reachable.
. "$(dirname "$0")/case.sh"

start_store
stop_all
write_bundle 1 a
start_entry e1 a r1
start_entry e2 a r2
answer=$(ask GET "$(addr_of e1 admin)" /readyz)
expect_status "readyz" 503 "$answer"
expect_match "readyz" "not ready: ." "$answer"
expect_status "healthz" 200 "$(ask GET "$(addr_of e1 admin)" /healthz)"
answer=$(ask POST "$(addr_of e1 callers)" /v1/jobs \
	-H "Authorization: Bearer shop-1-token" \
	-d '{"kind":"proof","tasks":[{}]}')
expect_status "a job" 503 "$answer"
expect_match "a job" '"reason":"not_ready"' "$answer"

start_store "$STORE"
start_targets ta 2 a
roll_bundle e1
wait_ready
expect_match "a job, with the store" '"completed"' \
	"$(jobs e1 submit --kind proof x)"
pass
