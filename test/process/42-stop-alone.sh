#!/bin/sh
# Guards against a planned stop that breaks off a job which could end in it: the
# instance is the only one, so no other can drive after it. The job takes 3 s, and
# the stop 5.5 s.
. "$(dirname "$0")/case.sh"
. "$(dirname "$0")/fleet_lib.sh"

start_platform 4
start_instance a d0
wait_ready a
wait_served a
cat >"$DIR/job.sh" <<END
"$STANDIN" ask --header 'Deadline-Remaining-Ms: 60000' --body \
	'{"taskSpec":"run 3000","bestEffort":true,"steps":[{"count":4,"cpu":8000,"memMb":64,"estimatedMs":3000}]}' \
	POST "$(cat "$DIR/a.callers")" /quick/00000000000000ab
END
spawn job sh "$DIR/job.sh"
sleep 0.5
kill -TERM "$(pid_of a)"
wait_gone "$(pid_of job)" || die "the job has no answer"
expect "a job that ends in the stop" 200 "$(head -1 "$DIR/job.out")"
pass
