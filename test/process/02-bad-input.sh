#!/bin/sh
# Guards against invalid input that starts work or gets an unspecific error:
# every kind must get its status and reason, and no task may start.
. "$(dirname "$0")/case.sh"

start_small
at=$(addr_of e1 callers)
auth="Authorization: Bearer shop-1-token"

# refused WHAT STATUS PATTERN OPTION...: a POST with these options must get
# this status and an answer that matches.
refused() {
	what=$1
	status=$2
	pattern=$3
	shift 3
	answer=$(ask POST "$at" /v1/jobs "$@")
	expect_status "$what" "$status" "$answer"
	expect_match "$what" "$pattern" "$answer"
}

job='{"kind":"proof","tasks":[{"body":"x"}]}'
refused "no token" 401 unauthorized -d "$job"
refused "unknown token" 401 unauthorized -d "$job" \
	-H "Authorization: Bearer nobody"
refused "no JSON" 400 bad_request -H "$auth" -d '{"kind":'
refused "empty body" 400 bad_request -H "$auth"
refused "repeated member" 400 bad_request -H "$auth" \
	-d '{"kind":"proof","kind":"proof","tasks":[{}]}'
refused "unknown member" 400 '"member":"tasks\[0\].size"' -H "$auth" \
	-d '{"kind":"proof","tasks":[{"size":1}]}'
refused "wrong type" 400 '"member":"tasks\[0\].run_ms"' -H "$auth" \
	-d '{"kind":"proof","tasks":[{"run_ms":"1"}]}'
refused "out of range" 400 '"member":"tasks\[0\].cpus"' -H "$auth" \
	-d '{"kind":"proof","tasks":[{"cpus":-1}]}'
refused "empty job" 400 '"member":"tasks"' -H "$auth" \
	-d '{"kind":"proof","tasks":[]}'
refused "unknown kind" 400 bad_request -H "$auth" \
	-d '{"kind":"nothing","tasks":[{}]}'
refused "bad key" 400 Idempotency-Key -H "$auth" \
	-H "Idempotency-Key: a b" -d "$job"
refused "key too long" 400 Idempotency-Key -H "$auth" \
	-H "Idempotency-Key: $(head -c 200 /dev/zero | tr '\0' k)" -d "$job"

{
	printf '{"kind":"proof","tasks":[{}'
	head -c 4800 /dev/zero | sed 's/\x00\x00\x00/,{}/g'
	printf ']}'
} >"$DIR/long"
refused "1,601 tasks" 413 too_large -H "$auth" -f "$DIR/long"
{
	printf '{"kind":"proof","tasks":[{"body":'
	head -c 50000 /dev/zero | tr '\0' '['
} >"$DIR/deep"
refused "deep nesting" 400 bad_request -H "$auth" -f "$DIR/deep"
head -c 5000000 /dev/zero | tr '\0' ' ' >"$DIR/big"
refused "body too large" 413 "" -H "$auth" -f "$DIR/big"

expect_status "unknown path" 404 "$(ask POST "$at" /v2/jobs -H "$auth")"
expect_status "unknown method" 405 "$(ask PUT "$at" /v1/jobs -H "$auth")"
expect_status "no tickets" 400 \
	"$(ask POST "$at" "/v1/tickets?count=0" -H "$auth")"
expect_status "unknown key" 404 "$(ask GET "$at" /v1/jobs/none -H "$auth")"
ask GET "$at" / --raw "this is no HTTP

" >"$DIR/raw"
expect "tasks started by invalid input" 0 "$(count ta "" starts)"

expect_status "a valid job afterwards" 200 \
	"$(ask POST "$at" /v1/jobs -H "$auth" -d "$job")"
expect "tasks started" 1 "$(count ta "" starts)"
pass
