#!/bin/sh
# Guards against a full disk that stops the service: the log file is
# /dev/full. The entry must serve a job and stop with exit code 0.
. "$(dirname "$0")/case.sh"

start_store
start_targets ta 2 a
# The log cannot show the ports that port 0 takes, so free ones are chosen.
start_targets spare 3 spare
p1=$(target_addr spare 1)
p2=$(target_addr spare 2)
p3=$(target_addr spare 3)
kill -TERM "$(pid_of spare)"
wait_gone "$(pid_of spare)"
LOG_FILE=/dev/full
write_settings e1 a r1
sed -i "s/^callers = .*/callers = $p1/; s/^peers = .*/peers = $p2/
	s/^admin = .*/admin = $p3/" "$DIR/e1.conf"
spawn e1 "$SHORE" entry --settings "$DIR/e1.conf"
echo "$p1" >"$DIR/e1.callers"
echo "$p3" >"$DIR/e1.admin"
ENTRIES=e1
write_bundle 1 a
roll_bundle e1
wait_ready
expect_match "a job" '"completed"' "$(jobs e1 submit --kind proof x)"
pid=$(pid_of e1)
kill -TERM "$pid"
wait_gone "$pid" || die "e1 did not stop in $WAIT_S s after SIGTERM"
wait "$pid"
expect "exit code" 0 $?
pass
