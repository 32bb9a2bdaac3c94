#!/bin/sh
# Guards against instances that miss a bundle or return to an older version:
# the store gets unsigned text, is restored to an older state, and is down
# while a new instance starts.
. "$(dirname "$0")/case.sh"

IN_FORCE_S=5

# wait_in_force VERSION: every entry must run it within IN_FORCE_S seconds.
wait_in_force() {
	set -- "$1" $(addrs admin | tr , ' ')
	version=$1
	shift
	options=
	for addr in "$@"
	do
		options="$options --admin $addr"
	done
	"$SHORE" bundle status --version "$version" --wait $IN_FORCE_S \
		$options >"$DIR/status" 2>&1 ||
		die "version $version: $(cat "$DIR/status")"
	cat "$DIR/status" >&2
}

control() {
	expect_status "PUT $1" 200 "$(ask PUT "$STORE" "$@")"
}

# stored: the version of the bundle in the store.
stored() {
	ask GET "$STORE" '/v1/kv/sycamoreshore/bundle/current?raw' |
		sed -n 's/^version = //p'
}

start_store
for e in e1:a e2:a e3:b e4:b
do
	start_entry ${e%:*} ${e#*:} "rack-${e%:*}"
done
write_bundle 1 a b
roll_bundle e1
wait_in_force 1
control /standin/snapshot
write_bundle 2 a b
roll_bundle e2
wait_in_force 2

# An unsigned bundle is refused, and the version in force stays.
sed 's/^version = 2/version = 3/' "$DIR/bundle" >"$DIR/unsigned"
control /v1/kv/sycamoreshore/bundle/current --file "$DIR/unsigned"
wait_for "$DIR/e1.err" bundle_refused "$(pid_of e1)" ||
	wait_for "$DIR/e2.err" bundle_refused "$(pid_of e2)" ||
	die "no entry logged bundle_refused for the unsigned bundle"
grep -h bundle_refused "$DIR"/e?.err | grep -q '0 good signatures' ||
	die "bundle_refused does not name the missing signatures"
expect "the unsigned bundle" 3 "$(stored)"
wait_in_force 2

# The instances write the newer bundle to a store that holds an older one.
control /standin/restore
left=100
until [ "$(stored)" = 2 ]
do
	left=$((left - 1))
	[ $left -gt 0 ] || die "the store still holds version $(stored)"
	sleep 0.05
done
wait_in_force 2

# During an outage a new instance receives the bundle from its peers.
control '/standin/knobs?down=1'
start_entry e5 b rack-e5
wait_in_force 2
control '/standin/knobs?down=0'
write_bundle 4 a b
roll_bundle e1
wait_in_force 4
for e in $ENTRIES
do
	grep bundle_adopted "$DIR/$e.err" | grep -o 'version [0-9]*' |
		sort -c -k2n ||
		die "$e returned to an older version"
done
pass
