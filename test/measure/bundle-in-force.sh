#!/bin/sh
# Measures the time in ms from the start of `bundle roll` until each instance
# of four failure domains has logged the new version; the first roll does not
# count. Prints at the end how many calls the store has received in all.
#
#	bundle-in-force.sh [INSTANCES_PER_DOMAIN [ROLLS]]
. "$(dirname "$0")/../process/lib.sh"
trap stop_all EXIT
trap 'exit 1' INT TERM

instances=${1:-2}
rolls=${2:-5}
domains="a b c d"

start_store
for d in $domains
do
	i=1
	while [ $i -le "$instances" ]
	do
		start_entry "$d$i" "$d" "rack-$d$i"
		i=$((i + 1))
	done
done
print_store_calls() {
	ask GET "$STORE" /standin/counts | sed 1d
}

version=1
while [ $version -le $((rolls + 1)) ]
do
	write_bundle $version $domains
	for command in "propose $DIR/bundle" \
		"sign $DIR/bundle --name op --key $DIR/op.key"
	do
		"$SHORE" bundle $command --settings "$DIR/a1.conf" >/dev/null ||
			die "bundle $command failed"
	done
	begin_at=$(date +%s%3N)
	"$SHORE" bundle roll --settings "$DIR/a1.conf" >/dev/null ||
		die "bundle roll failed"
	for entry in $ENTRIES
	do
		wait_for "$DIR/$entry.err" "bundle_adopted.*version $version\"" \
			"$(pid_of "$entry")" ||
			die "$entry did not adopt bundle version $version"
		adopted_at=$(sed -n "s/^time=\"\([^\"]*\)\".*bundle_adopted.*version $version\".*/\1/p" \
			"$DIR/$entry.err")
		[ $version -eq 1 ] ||
			echo $(($(date -d "$adopted_at" +%s%3N) - begin_at))
	done
	sleep 1
	version=$((version + 1))
done | sort -n | awk '
	{ ms[NR] = $1 }
	END { printf "%d samples: median %d ms, p99 %d ms, most %d ms\n", NR,
		ms[int((NR + 1) / 2)], ms[int(NR * 0.99 + 0.5)], ms[NR] }'
print_store_calls
