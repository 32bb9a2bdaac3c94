#!/bin/sh
# Guards against wrong outcomes of faulty targets: a target answers with
# bytes that are not HTTP, closes the connection, fails or refuses. Each
# outcome must be correct, and a non-idempotent task must not be sent again.
. "$(dirname "$0")/case.sh"

start_small 2

# outcome_with KNOB OUTCOME REASON: of one non-idempotent request.
outcome_with() {
	knobs ta "$1=1"
	answer=$(jobs e1 submit --request --kind payment "with $1")
	expect_match "$1" "\"outcome\":\"$2\"" "$answer"
	expect_match "$1" "\"reason\":\"$3\"" "$answer"
	expect_match "$1" '^[^[]*$' "$answer"
	knobs ta "$1=0"
}

outcome_with garbage unknown connection_lost
outcome_with die unknown connection_lost
outcome_with fail failed task_failed
expect "most starts of one body" 1 "$(count ta bodies most)"
before=$(count ta "" starts)
knobs ta refuse=1
answer=$(jobs e1 submit --request --kind payment --deadline-ms 1500 refused)
knobs ta refuse=0
expect_match "refuse" '"outcome":"not_run"' "$answer"
expect "starts by refusing targets" "$before" "$(count ta "" starts)"
pass
