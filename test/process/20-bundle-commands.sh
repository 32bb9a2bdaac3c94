#!/bin/sh
# Guards against a bundle that comes into force without enough signatures, or
# that a race or a fault of the store loses: keygen, check, propose, sign and
# roll are run with concurrent operators, lost replies, stale reads and
# outages.
. "$(dirname "$0")/case.sh"

# run CODE COMMAND...: the command must end with this exit code.
run() {
	want=$1
	shift
	"$@" >"$DIR/out" 2>"$DIR/err"
	expect "$*" "$want" $?
}

# expect_output PATTERN: the last command must have printed a matching line.
expect_output() {
	grep -q -e "$1" "$DIR/out" "$DIR/err" ||
		die "no output matches '$1': $(cat "$DIR/out" "$DIR/err")"
}

bundle() {
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

# A key file is never overwritten, and only its owner can read it.
for name in anna bernd clara
do
	run 0 bundle keygen --name $name --out $name.key
	cat out >>operators
done
run 1 bundle keygen --name anna --out anna.key
expect_output 'File exists'
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
run 0 bundle token token
hash=$(sed -n 's/^token_hash = //p' out)

# draft FILE VERSION SHARE: writes a bundle of this version. Different shares
# give different texts.
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
	bundle sign "$2" --name "$1" --key "$1.key" -s ops.conf
}

draft v1 1 1
run 0 bundle check v1
expect_output 'version 1: 1 domains, 1 services, 1 callers, 1 kinds'
sed 's/^slots = 8/slots = none/' v1 >bad
run 2 bundle check bad
expect_output 'bundle:10: slots'
run 2 bundle propose bad -s ops.conf
run 2 bundle nonsense
run 2 bundle check
run 2 bundle roll --no-such-option

# No bundle comes into force before enough operators have signed it.
run 1 bundle roll -s ops.conf
expect_output 'no bundle is proposed'
run 0 bundle propose v1 -s ops.conf
run 1 bundle roll -s ops.conf
expect_output '0 good signatures of trusted operators, 2 needed'
run 0 sign anna v1
run 0 sign anna v1
run 1 bundle roll -s ops.conf
expect_output '1 good signatures'
run 2 bundle sign v1 --name bernd --key clara.key -s ops.conf
expect_output 'not that of bernd'
run 2 bundle sign v1 --name dora --key clara.key -s ops.conf
expect_output 'dora is not a signer'
run 0 sign bernd v1
run 0 bundle roll -s ops.conf
expect_output 'version 1 is in force'
run 0 bundle roll -s ops.conf

# An operator signs the text of the file, not another one proposed meanwhile.
draft v2 2 2
draft v2-other 2 3
run 0 bundle propose v2 -s ops.conf
run 4 bundle propose v2-other -s ops.conf
expect_output 'another proposal is pending.*version 2'
run 0 bundle propose v2-other --replace -s ops.conf
run 4 sign anna v2
expect_output 'another text than that of the file is proposed'
run 0 bundle propose v2 --replace -s ops.conf

# Two operators sign at the same time: both signatures are kept.
sign anna v2 >/dev/null 2>&1 &
one=$!
sign bernd v2 >/dev/null 2>&1 &
two=$!
wait $one || die "anna's concurrent sign failed"
wait $two || die "bernd's concurrent sign failed"

# After a lost reply the store is read again: the roll reports its success.
put '/standin/knobs?lose_replies=1'
run 0 bundle roll -s ops.conf
expect_output 'version 2 is in force'

# Of two operators who roll different bundles one succeeds; the other gets an
# error.
draft v3 3 4
draft v4 4 5
run 0 bundle propose v3 -s ops.conf
run 0 sign anna v3
run 0 sign clara v3
ask GET "$STORE" '/v1/kv/sycamoreshore/bundle/proposed?raw' | sed '1d;$d' >v3.signed
run 0 bundle check v3.signed -s ops.conf
run 0 bundle propose v4 --replace -s ops.conf
run 0 sign anna v4
run 0 sign clara v4
run 0 bundle roll -s ops.conf
expect_output 'version 4 is in force'
put /v1/kv/sycamoreshore/bundle/proposed --file v3.signed
run 4 bundle roll -s ops.conf
expect_output 'another bundle is in force: version 4.*anna clara'
run 4 bundle propose v3 -s ops.conf
expect_output 'must be greater than the one in force: version 4'

# Two concurrent rolls of one proposal: both succeed.
draft v5 5 6
run 0 bundle propose v5 --replace -s ops.conf
run 0 sign bernd v5
run 0 sign clara v5
bundle roll -s ops.conf >one.out 2>&1 &
one=$!
bundle roll -s ops.conf >two.out 2>&1 &
two=$!
wait $one || die "first roll: $(cat one.out)"
wait $two || die "second roll: $(cat two.out)"

# A stale read of the proposal lacks a signature, so the roll fails.
draft v6 6 7
run 0 bundle propose v6 --replace -s ops.conf
run 0 sign anna v6
run 0 sign bernd v6
put '/standin/knobs?stale=1'
run 1 bundle roll -s ops.conf
put '/standin/knobs?stale=0'
ask GET "$STORE" '/v1/kv/sycamoreshore/bundle/current?raw' |
	grep -q '^version = 5' || die "version 5 is not in force"
run 0 bundle roll -s ops.conf

# The store is unreachable, slow or stopped.
put '/standin/knobs?down=1'
run 3 bundle roll -s ops.conf
put '/standin/knobs?down=0'
put '/standin/knobs?slow_ms=400'
run 3 bundle roll -s ops.conf --timeout-ms 100
run 0 bundle roll -s ops.conf
put '/standin/knobs?slow_ms=0'
kill "$(pid_of store)"
wait_gone "$(pid_of store)" || die "the store did not stop in $WAIT_S s"
run 3 bundle roll -s ops.conf
run 3 bundle status -s ops.conf --admin 127.0.0.1:1
run 3 bundle status --version 6 --admin "$STORE" --wait 1
expect_output '0 of 1 instances run version 6'
pass
