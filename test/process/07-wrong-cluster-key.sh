#!/bin/sh
# Guards against an instance with another cluster key: the peers must refuse
# its connection, log that, and go on serving.
. "$(dirname "$0")/case.sh"

start_small
od -An -tx1 -N32 /dev/urandom | tr -d ' \n' >"$DIR/other.key"
write_settings stranger a r3 "$DIR/other.key"
launch_entry stranger || die "the entry with the other key did not start"
wait_for "$DIR/e1.err" peer_rejected "$(pid_of e1)" ||
	die "e1 logged no peer_rejected event"
if grep "peer_up" "$DIR/e1.err" | grep -q stranger
then
	die "e1 accepted the entry with the other key"
fi
# Gives the other entry time to disturb the cluster if it can.
sleep 4
for e in e1 e2
do
	for i in 1 2 3
	do
		expect_match "a keyed job by $e" '"completed"' \
			"$(jobs $e submit --kind payment --key "$e-$i" x \
				--timeout-ms 8000)"
	done
done
pass
