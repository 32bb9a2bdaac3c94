# Submits keyed jobs of two tasks to a cluster of four entries, for tests that
# no task starts twice. Source it after case.sh. KEYS is the number of jobs.

KEYS=${KEYS:-24}

# start_keys: submits every key once in the background, to the entries in
# turn. Waits until as many tasks have started as there are keys.
start_keys() {
	for i in $(seq "$KEYS")
	do
		e=e$((i % 4 + 1))
		jobs $e submit --kind payment --key "key-$i" "body $i a" \
			"body $i b" >"$DIR/first.$i" 2>&1 &
	done
	left=200
	until [ $(($(count ta "" starts) + $(count tb "" starts))) -ge "$KEYS" ]
	do
		left=$((left - 1))
		[ $left -gt 0 ] || die "fewer than $KEYS tasks were started in 4 s"
		sleep 0.02
	done
}

# resubmit_keys ROUND ENTRY...: resubmits every key to each of the entries at
# the same time. Waits for the answers.
resubmit_keys() {
	round=$1
	shift
	for i in $(seq "$KEYS")
	do
		for e in "$@"
		do
			jobs "$e" submit --kind payment --key "key-$i" \
				"body $i a" "body $i b" --timeout-ms 20000 \
				>"$DIR/again.$round.$i.$e" 2>&1 &
			echo $! >>"$DIR/again.$round.pids"
		done
	done
	for pid in $(cat "$DIR/again.$round.pids")
	do
		wait "$pid"
	done
}

# check_answers ROUND: every answer must be complete, report its outcome
# without the results, or report it as unknown or not run. Sets `whole` to the
# number of complete answers.
check_answers() {
	whole=0
	for f in "$DIR/again.$1".*.e?
	do
		if grep -q '"answer_dropped"' "$f"
		then
			expect_match "$f" '"outcome":"\(completed\|unknown\)"' \
				"$(cat "$f")"
		elif grep -q '"completed"' "$f"
		then
			expect "results in $f" 2 \
				"$(grep -o '"status":200' "$f" | wc -l)"
			whole=$((whole + 1))
		else
			expect_match "$f" '"outcome":"\(unknown\|not_run\)"' \
				"$(cat "$f")"
		fi
	done
}

# check_starts: no body may have been started twice.
check_starts() {
	for t in ta tb
	do
		expect "$t: most starts of one body" 1 \
			"$(count $t bodies most)"
	done
}
