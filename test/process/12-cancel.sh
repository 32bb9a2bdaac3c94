#!/bin/sh
# Guards against a cancel without effect or with too much: the job must be
# answered as cancelled, its waiting tasks must never start, and another
# caller must not be able to cancel it.
. "$(dirname "$0")/case.sh"

SERVICE_SLOTS=1
start_small 1 --run-ms 1500
jobs e1 submit --kind proof --key gone a b c d >"$DIR/answer" 2>&1 &
job=$!
left=200
until [ "$(count ta "" starts)" -ge 1 ]
do
	left=$((left - 1))
	[ $left -gt 0 ] || die "the job's first task was not started in 10 s"
	sleep 0.05
done
other=$(ask DELETE "$(addr_of e2 callers)" /v1/jobs/gone \
	-H "Authorization: Bearer shop-2-token")
expect_status "another caller's cancel" 404 "$other"
jobs e2 cancel gone >"$DIR/cancel" 2>&1
wait $job
expect_match "the answer" '"reason":"cancelled"' "$(cat "$DIR/answer")"
sleep 2
expect "starts" 1 "$(count ta "" starts)"
expect_match "the state" '"state":"ended"' "$(jobs e2 show gone)"
pass
