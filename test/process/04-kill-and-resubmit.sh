#!/bin/sh
# Guards against a second start of keyed jobs after a crash: an entry is
# killed with keyed jobs in flight, then every key is resubmitted to every
# other entry. No task may start twice; every answer must be complete or
# report its outcome as unknown or not run.
. "$(dirname "$0")/case.sh"
. "$(dirname "$0")/keys.sh"

start_cluster
knobs ta run_ms=600
knobs tb run_ms=600
start_keys
kill -KILL "$(pid_of e1)"
resubmit_keys 1 e2 e3 e4
check_answers 1
[ $whole -gt 0 ] || die "no resubmission got a complete answer"
check_starts
pass
