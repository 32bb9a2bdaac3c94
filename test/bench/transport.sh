#!/bin/sh
# Measures the transport layer: calls from one process to targets in another,
# and messages over one peer link. Prints the results of each run.
#
#	test/bench/transport.sh BUILD [COUNT]
build=${1:?usage: transport.sh BUILD [COUNT]}
count=${2:-100000}
bench=$build/bench-transport
out=$(mktemp) || exit 2

"$bench" server 50 >"$out" &
server=$!
trap 'kill $server 2>/dev/null; rm -f "$out"' EXIT
while ! read -r ports <"$out"
do
	sleep 0.1
done
first=${ports%% *}
for at_once in 1 8 64
do
	echo "one target, $at_once at once, 200 bytes"
	"$bench" client "$count" "$at_once" 200 "$first" || exit 1
done
for at_once in 50 400
do
	echo "50 targets, $at_once at once, 200 bytes"
	# shellcheck disable=SC2086
	"$bench" client "$count" "$at_once" 200 $ports || exit 1
done
kill -TERM $server
wait $server
tail -n 1 "$out"
for bytes in 100 10000
do
	echo "$bytes bytes"
	"$bench" peer "$count" "$bytes" || exit 1
done
