#!/bin/sh
# Operators, the store and its faults: keygen, check, propose, sign, roll,
# races, lost replies, stale reads, outages.
. "$(dirname "$0")/case.sh"

# run CODE COMMAND...: the command ends with this exit code
run() {
	want=$1
	shift
	"$@" >"$DIR/out" 2>"$DIR/err"
	expect "$*" "$want" $?
}

says() {
	grep -q -e "$1" "$DIR/out" "$DIR/err" ||
		die "nothing says '$1': $(cat "$DIR/out" "$DIR/err")"
}

b() {
	"$SHORE" bundle "$@"
}

put() {
	path=$1
	shift
	expect_status "PUT $path" 200 "$(ask PUT "$STORE" "$path" "$@")"
}

start_store
SHORE=$(realpath "$SHORE")
STANDIN=$(realpath "$STANDIN")
cd "$DIR" || exit 2

# Keys: a secret file is made once, readable by its owner only.
for name in anna bernd clara
do
	run 0 b keygen --name $name --out $name.key
	cat out >>operators
done
run 1 b keygen --name anna --out anna.key
says 'File exists'
expect "mode of a key file" 600 "$(stat -c %a anna.key)"

cat >ops.conf <<EOF
[instance]
name = ops
domain = east
[cluster]
key_file = none
[platform]
store = $STORE
[operators]
$(cat operators)
EOF
printf 'secret\n' >token
run 0 b token token
hash=$(sed -n 's/^token_hash = //p' out)

# draft FILE VERSION SHARE
draft() {
	cat >"$1" <<EOF
[bundle]
version = $2
signoffs = 2
[signer anna]
[signer bernd]
[signer clara]
[domain east]
[service work]
path = /task
slots = 8
[caller one]
owner = o
share = $3
token_hash = $hash
[kind job]
service = work
non_idempotent = yes
time_limit_ms = 1000
EOF
}
sign() {
	b sign "$2" --name "$1" --key "$1.key" -s ops.conf
}

draft v1 1 1
run 0 b check v1
says 'version 1: 1 domains, 1 services, 1 callers, 1 kinds'
sed 's/^slots = 8/slots = none/' v1 >bad
run 2 b check bad
says 'bundle:10: slots'
run 2 b propose bad -s ops.conf
run 2 b nonsense
run 2 b check
run 2 b roll --no-such-option

# Nothing is in force before enough operators have signed.
run 1 b roll -s ops.conf
says 'no bundle is proposed'
run 0 b propose v1 -s ops.conf
run 1 b roll -s ops.conf
says '0 good signatures of trusted operators, 2 needed'
run 0 sign anna v1
run 0 sign anna v1
run 1 b roll -s ops.conf
says '1 good signatures'
run 2 b sign v1 --name bernd --key clara.key -s ops.conf
says 'not that of bernd'
run 2 b sign v1 --name dora --key clara.key -s ops.conf
says 'dora is not a signer'
run 0 sign bernd v1
run 0 b roll -s ops.conf
says 'version 1 is in force'
run 0 b roll -s ops.conf

# An operator signs what was read, not what is proposed meanwhile.
draft v2 2 2
draft v2-other 2 3
run 0 b propose v2 -s ops.conf
run 4 b propose v2-other -s ops.conf
says 'another proposal is pending.*version 2'
run 0 b propose v2-other --replace -s ops.conf
run 4 sign anna v2
says 'another text than that of the file is proposed'
run 0 b propose v2 --replace -s ops.conf

# Two sign at once: both signatures stay.
sign anna v2 >/dev/null 2>&1 &
one=$!
sign bernd v2 >/dev/null 2>&1 &
two=$!
wait $one || die "anna's signature"
wait $two || die "bernd's signature"

# A lost reply is read back: the roll took effect and says so.
put '/standin/knobs?lose_replies=1'
run 0 b roll -s ops.conf
says 'version 2 is in force'

# Two operators roll unlike bundles at once: one wins, the other is told.
draft v3 3 4
draft v4 4 5
run 0 b propose v3 -s ops.conf
run 0 sign anna v3
run 0 sign clara v3
ask GET "$STORE" '/v1/kv/sycamoreshore/bundle/proposed?raw' | sed '1d;$d' >v3.signed
run 0 b check v3.signed -s ops.conf
run 0 b propose v4 --replace -s ops.conf
run 0 sign anna v4
run 0 sign clara v4
run 0 b roll -s ops.conf
says 'version 4 is in force'
put /v1/kv/sycamoreshore/bundle/proposed --file v3.signed
run 4 b roll -s ops.conf
says 'another bundle is in force: version 4.*anna clara'
run 4 b propose v3 -s ops.conf
says 'must be greater than the one in force: version 4'

# Two rolls of one proposal at the same moment: both end well.
draft v5 5 6
run 0 b propose v5 --replace -s ops.conf
run 0 sign bernd v5
run 0 sign clara v5
b roll -s ops.conf >one.out 2>&1 &
one=$!
b roll -s ops.conf >two.out 2>&1 &
two=$!
wait $one || die "first roll: $(cat one.out)"
wait $two || die "second roll: $(cat two.out)"

# A stale read of the proposal lacks a signature: nothing is rolled.
draft v6 6 7
run 0 b propose v6 --replace -s ops.conf
run 0 sign anna v6
run 0 sign bernd v6
put '/standin/knobs?stale=1'
run 1 b roll -s ops.conf
put '/standin/knobs?stale=0'
ask GET "$STORE" '/v1/kv/sycamoreshore/bundle/current?raw' |
	grep -q '^version = 5' || die "version 5 is not in force"
run 0 b roll -s ops.conf

# The store is down, slow, gone.
put '/standin/knobs?down=1'
run 3 b roll -s ops.conf
put '/standin/knobs?down=0'
put '/standin/knobs?slow_ms=400'
run 3 b roll -s ops.conf --timeout-ms 100
run 0 b roll -s ops.conf
put '/standin/knobs?slow_ms=0'
kill "$(pid_of store)"
wait_gone "$(pid_of store)" || die "the store does not stop"
run 3 b roll -s ops.conf
run 3 b status -s ops.conf --admin 127.0.0.1:1
run 3 b status --version 6 --admin "$STORE" --wait 1
says '0 of 1 instances run version 6'
pass
