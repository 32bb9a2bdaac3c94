#!/bin/sh
# Guards against a second start by an entry that resumes after its peers have
# taken over: SIGSTOP for longer than suspect_ms with keyed jobs in flight.
# Every key is resubmitted to the others meanwhile, and to all after SIGCONT.
# No task may start twice.
. "$(dirname "$0")/case.sh"
. "$(dirname "$0")/keys.sh"

start_cluster
knobs ta run_ms=600
knobs tb run_ms=600
start_keys
kill -STOP "$(pid_of e1)"
sleep 3
resubmit_keys 1 e2 e3 e4
check_answers 1
[ $whole -gt 0 ] || die "no resubmission got a complete answer"
kill -CONT "$(pid_of e1)"
sleep 1
resubmit_keys 2 e1 e2 e3 e4
check_answers 2
check_starts
pass
