#!/bin/sh
# Guards against invalid settings that are accepted or reported unclearly:
# the message must name file and line, and the exit code must be 2. Valid
# settings must pass --check.
. "$(dirname "$0")/case.sh"

STORE=127.0.0.1:8500
write_settings good a r1
"$SHORE" entry --check --settings "$DIR/good.conf" >"$DIR/out" 2>&1 ||
	die "valid settings are refused: $(cat "$DIR/out")"

# wrong WHAT SED_SCRIPT LINE_PATTERN: the settings after SED_SCRIPT must be
# refused with the number of the first line that matches LINE_PATTERN.
wrong() {
	sed "$2" "$DIR/good.conf" >"$DIR/bad.conf"
	line=$(grep -n "$3" "$DIR/bad.conf" | head -1 | cut -d: -f1)
	for check in --check ""
	do
		"$SHORE" entry $check --settings "$DIR/bad.conf" \
			>"$DIR/out" 2>&1
		expect "$1: exit code" 2 $?
		expect_match "$1" "bad.conf:$line: " "$(cat "$DIR/out")"
	done
}

wrong "unknown key" 's/^rack = .*/shelf = r1/' '^shelf'
wrong "unknown section" 's/^\[listen\]/[listening]/' '^\[listening'
wrong "wrong type" 's/^list_interval_ms = .*/list_interval_ms = soon/' \
	'^list_interval_ms'
wrong "out of range" 's/^list_interval_ms = .*/list_interval_ms = 1/' \
	'^list_interval_ms'
wrong "host name" 's/^admin = .*/admin = localhost:1/' '^admin'
"$SHORE" entry --settings "$DIR/none.conf" >"$DIR/out" 2>&1
expect "no such file: exit code" 2 $?
pass
