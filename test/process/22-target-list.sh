#!/bin/sh
# Guards against needless queries of the list of targets: the store must get
# one blocking query for each service, however often the list is read, and a
# change must be visible within 2 s.
. "$(dirname "$0")/case.sh"

queries() {
	ask GET "$STORE" /standin/counts |
		grep -o '"health[a-z_]*":[0-9]*' |
		awk -F: '{ n += $2 } END { print n }'
}

# targets ENTRY WANTED: its dump must show this number of targets in 2 s.
targets() {
	left=40
	until [ "$(ask GET "$(addr_of "$1" admin)" /state |
		grep -o '"name": *"t[ab]-[0-9]*"' | sort -u | wc -l)" -eq "$2" ]
	do
		left=$((left - 1))
		[ $left -gt 0 ] || die "$1 does not show $2 targets in 2 s"
		sleep 0.05
	done
}

start_small 2
targets e1 2
before=$(queries)
sleep 4
after=$(queries)
# Two entries that read every 200 ms without blocking would query 40 times.
[ $((after - before)) -le 2 ] ||
	die "$((after - before)) queries in 4 s, at most 2 are allowed"
start_targets tb 3 a
targets e1 5
targets e2 5
jobs e1 submit one two --kind proof >"$DIR/out" 2>&1 ||
	die "the job failed: $(cat "$DIR/out")"
pass
