# Sourced by each process test: sets NAME, sources lib.sh, prints one line
# "ok NAME" or "not ok NAME: REASON" at the end, and stops all processes.

NAME=$(basename "$0" .sh)
FAILED="the test ended before its last line"
. "$(dirname "$0")/lib.sh"

# die REASON: ends the test as failed and prints REASON.
die() {
	FAILED=$*
	exit 1
}

finish() {
	trap - EXIT INT TERM HUP
	stop_all
	if [ -z "$FAILED" ]
	then
		rm -rf "$DIR"
		echo "ok $NAME"
		exit 0
	fi
	echo "not ok $NAME: $FAILED (files in $DIR)"
	exit 1
}
trap finish EXIT
trap 'FAILED=interrupted; exit 1' INT TERM HUP PIPE

# pass: ends the test as passed. It is the last command of each test.
pass() {
	FAILED=
	exit 0
}

# expect WHAT WANTED GOT: both values must be equal.
expect() {
	[ "$2" = "$3" ] || die "$1: wanted $2, got $3"
}

# expect_match WHAT PATTERN TEXT: a line of TEXT must match.
expect_match() {
	printf '%s' "$3" | grep -q -e "$2" || die "$1: wanted $2, got $3"
}

# expect_status WHAT WANTED ANSWER: compares the status that `ask` printed.
expect_status() {
	expect "$1" "$2" "$(printf '%s\n' "$3" | head -1)"
}
