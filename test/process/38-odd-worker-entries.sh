#!/bin/sh
# Guards against one odd entry of another writer among those of the workers: it
# costs no process, and the list of workers is followed as before. Entries: nested
# very deeply, with numbers that are too large, with ports out of range, with keys
# that mean something in a query or in a header, and so large that it ends a page.
. "$(dirname "$0")/case.sh"
. "$(dirname "$0")/fleet_lib.sh"

# put KEY TEXT [MORE]: puts the text and MORE further bytes under servers/KEY.
put() {
	printf %s "$2" >"$DIR/entry"
	ask PUT "$STORE" "/standin/entry?key=servers/$1&more=${3:-0}" \
		--file "$DIR/entry" >/dev/null
}

# worker ADDRESS CPU FIELDS: the text of an entry.
worker() {
	echo '{"service":"s","address":"'"$1"'","zone":"d0","state":"ready",' \
		'"labels":["a"],"capacity":{"cpu":'"$2"',"memMb":64}'"$3"'}'
}

# known NAME: how many workers the instance knows.
known() {
	ask GET "$(cat "$DIR/$1.admin")" /metrics |
		sed -n 's/^sycamoreshore_workers \([0-9]*\).*/\1/p'
}

# wait_known N: waits until all instances know so many workers.
wait_known() {
	for name in a b c
	do
		left=$((WAIT_S * 20))
		until [ "$(known $name)" = "$1" ]
		do
			left=$((left - 1))
			[ "$left" -gt 0 ] ||
				die "$name knows $(known $name) workers, not $1"
			sleep 0.05
		done
	done
}

# follow KEY: a worker joins, and all instances learn of it.
follow() {
	n_known=$((n_known + 1))
	put "$1" "$(worker 127.0.0.1:1 1000)"
	wait_known $n_known
}

start_platform 4
for i in a b c
do
	start_instance $i d0
	wait_ready $i
done
wait_served a
n_known=4
wait_known 4

deep=$(printf '%050000d' 0 | tr 0 '[')
put 0-deep "$deep"
put 0-deep-field '{"state":"ready","labels":'"$deep"
put 0-real "$(worker 127.0.0.1:1 1e999)"
put 0-real-2 "$(worker 127.0.0.1:1 1e308)"
put 0-whole "$(worker 127.0.0.1:1 1000000000000000000000000000000)"
put 0-negative "$(worker 127.0.0.1:1 -1)"
put 0-cold "$(worker 127.0.0.1:1 1 ',"coldRemainingMs":4294967296')"
put 0-born "$(worker 127.0.0.1:1 1 ',"born":1e300')"
put 0-port "$(worker 127.0.0.1:70000 1)"
put 0-port-0 "$(worker 127.0.0.1:0 1)"
put 0-host "$(worker host.example:80 1)"
put 0-bytes "$(printf '\377\376\001')"
put 0-twice "$(worker 127.0.0.1:1 1 ',"service":"s"')"
follow 1-new

# Each of these is larger than a page may be, so the next page begins after it.
put '2-cut%26plot' x 1000000
follow 3-new
put '2-a%20b%23c%25' x 1000000
put '2-line%0D%0Abreak' x 1000000
follow 4-new

# These can be read, but no call reaches them.
put '5-line%0D%0Abreak' "$(worker 127.0.0.1:1 4294967295)"
put 5-broadcast "$(worker 255.255.255.255:80 4294967295 ',"born":9223372036854775807,"coldRemainingMs":4294967295')"
n_known=$((n_known + 2))
follow 6-new

for i in a b c
do
	wait_served $i
	expect "a job at $i" 200 "$(job $i)"
	is_running "$(pid_of $i)" || die "$i has ended"
done
expect "tasks with two runs at one time" 0 "$(counts twice)"
pass
