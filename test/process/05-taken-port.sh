#!/bin/sh
# Guards against an unclear failure when a listen address is in use: the
# message must name the port and the cause, and the exit code must be 1.
. "$(dirname "$0")/case.sh"

start_store
CALLERS_ADDR=$STORE
write_settings e1 a r1
if "$SHORE" entry --settings "$DIR/e1.conf" >"$DIR/out" 2>&1
then
	die "the entry exited with 0 although its address was in use"
else
	expect "exit code" 1 $?
fi
expect_match "message" "${STORE#*:}" "$(cat "$DIR/out")"
expect_match "message" "in use" "$(cat "$DIR/out")"
pass
