#!/bin/sh
# Guards against an instance that a signal ends while it reads its settings.
. "$(dirname "$0")/case.sh"
. "$(dirname "$0")/fleet_lib.sh"

start_platform 2
start_instance a d0
mkfifo "$DIR/b.fifo"
spawn b "$SHORE" fleet --settings "$DIR/b.fifo"
sleep 0.3
kill -USR1 "$(pid_of b)"
sleep 0.1
sed 's/name = a/name = b/' "$DIR/a.conf" >"$DIR/b.fifo" &
wait_for "$DIR/b.out" callers_port= "$(pid_of b)" || die "b did not start"
wait_for "$DIR/b.out" 'event="state"' "$(pid_of b)" ||
	die "b lost a signal that was sent during its start"
pass
