#!/bin/sh
# Guards against processes left behind by the quick start: the reader of its
# output closes the pipe while the cluster runs. All processes must end.
. "$(dirname "$0")/case.sh"

mkdir "$DIR/tmp"
TMPDIR=$DIR/tmp ./quickstart 2>/dev/null | head -2 >/dev/null
pids=$(cat "$DIR"/tmp/sycamoreshore.*/*.pid)
[ -n "$pids" ] || die "the quick start started no process"
for pid in $pids
do
	wait_gone "$pid" || die "process $pid still runs"
done
pass
