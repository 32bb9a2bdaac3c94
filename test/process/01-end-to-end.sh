#!/bin/sh
# Guards against lost, mixed-up or repeated work without any fault: a mixed
# load over four entries in two failure domains. Every answer must be complete
# and belong to its submission, no task may start twice, and the report must
# equal the targets' counts.
. "$(dirname "$0")/case.sh"

start_cluster
run_load --profile test/process/mixed.ini --submissions 300 --strict ||
	die "load: $(load_summary)"
expect "wrong answers" 0 "$(load_number wrong)"
expect "whole answers" 300 "$(load_number whole)"
for t in ta tb
do
	expect "$t: most starts of one body" 1 "$(count $t bodies most)"
	expect "$t: most starts of one task" 1 "$(count $t tasks most)"
done
"$SHORE" report --admin "$(addrs admin)" --json >"$DIR/report.json" ||
	die "report failed"
reported=$(awk '$1 == "\"starts\":" { sub(/,/, "", $2); n += $2 }
	END { print n + 0 }' "$DIR/report.json")
expect "starts in the report" \
	$(($(count ta "" starts) + $(count tb "" starts))) "$reported"
expect "tasks started" "$(load_number tasks)" "$reported"
pass
