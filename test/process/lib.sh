# Runs a small cluster on loopback for tests and the quick start: a store
# stand-in, targets, entries on free ports, and a signed bundle. Processes are
# stopped by their ids. Source it with BUILD set to the build directory.
#
# Files in $DIR: NAME.out, NAME.err, NAME.pid of each process; NAME.conf and
# the addresses NAME.callers, NAME.peers, NAME.admin of each entry.

BUILD=${BUILD:-build}
SHORE=$BUILD/sycamoreshore
STANDIN=$BUILD/standin
WAIT_S=20
RETENTION_MS=900000
SERVICE_SLOTS=8
TIME_LIMIT_MS=${TIME_LIMIT_MS:-20000}

DIR=$(mktemp -d "${TMPDIR:-/tmp}/sycamoreshore.XXXXXX") || exit 1
ALL_PIDS=
ENTRIES=
SEEDS=

say() {
	echo "$*" >&2
}

# die REASON: ends the script; a trap of the script stops the processes.
die() {
	say "$*"
	exit 1
}

# is_running PID: whether the process has not ended. An ended child is a
# zombie until it is waited for.
is_running() {
	kill -0 "$1" 2>/dev/null &&
		! grep -q '^State:.Z' "/proc/$1/status" 2>/dev/null
}

# pid_of NAME: the id of a process that spawn started.
pid_of() {
	cat "$DIR/$1.pid"
}

# spawn NAME COMMAND...: starts a process in the background with its output in
# NAME.out and NAME.err.
spawn() {
	name=$1
	shift
	: >"$DIR/$name.out"
	: >"$DIR/$name.err"
	"$@" >>"$DIR/$name.out" 2>>"$DIR/$name.err" &
	echo $! >"$DIR/$name.pid"
	ALL_PIDS="$ALL_PIDS $!"
}

# wait_gone PID: waits until the process ends; fails after WAIT_S seconds.
wait_gone() {
	left=$((WAIT_S * 20))
	while is_running "$1"
	do
		left=$((left - 1))
		[ "$left" -gt 0 ] || return 1
		sleep 0.05
	done
}

# stop_all: stops and forgets every process that spawn started, by its id.
stop_all() {
	for pid in $ALL_PIDS
	do
		kill -CONT "$pid" 2>/dev/null
		kill -TERM "$pid" 2>/dev/null
	done
	for pid in $ALL_PIDS
	do
		wait_gone "$pid" || kill -KILL "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
	done
	ALL_PIDS=
}

# wait_for FILE PATTERN PID: waits for a matching line of FILE; fails when PID
# ends or after WAIT_S seconds.
wait_for() {
	left=$((WAIT_S * 20))
	until grep -q "$2" "$1" 2>/dev/null
	do
		left=$((left - 1))
		[ "$left" -gt 0 ] || return 1
		is_running "$3" || grep -q "$2" "$1" 2>/dev/null || return 1
		sleep 0.05
	done
}

# start_store [IP:PORT]: sets STORE to its address.
start_store() {
	spawn store "$STANDIN" store --listen "${1:-127.0.0.1:0}"
	wait_for "$DIR/store.out" listening "$(pid_of store)" ||
		die "the store stand-in did not start in $WAIT_S s"
	STORE=$(sed -n 's/^listening //p' "$DIR/store.out")
}

# start_targets NAME COUNT DOMAIN [OPTION...]: one process with COUNT targets.
start_targets() {
	tname=$1
	tcount=$2
	tdomain=$3
	shift 3
	spawn "$tname" "$STANDIN" target --count "$tcount" \
		--register "$STORE" --domain "$tdomain" --service task \
		--prefix "$tname-" "$@"
	left=$((WAIT_S * 20))
	until [ "$(grep -c listening "$DIR/$tname.out")" -eq "$tcount" ]
	do
		left=$((left - 1))
		[ "$left" -gt 0 ] && is_running "$(pid_of "$tname")" ||
			die "the $tcount targets of $tname did not start"
		sleep 0.05
	done
}

# target_addr NAME [N]: the address of the Nth target of a process.
target_addr() {
	sed -n 's/^listening //p' "$DIR/$1.out" | sed -n "${2:-1}p"
}

# ask METHOD ADDR PATH [OPTION...]: prints the answer's status, then its body.
ask() {
	method=$1
	addr=$2
	path=$3
	shift 3
	"$STANDIN" ask "$@" "$method" "$addr" "$path"
}

# knobs NAME QUERY: sets the knobs of all targets of a process.
knobs() {
	ask PUT "$(target_addr "$1")" "/standin/knobs?all=1&$2" >/dev/null
}

# count NAME GROUP MEMBER: a count of a process of targets, for example
# `count ta bodies most` or `count ta "" starts`.
count() {
	ask GET "$(target_addr "$1")" /standin/counts |
		awk -v group="\"$2\":" -v member="\"$3\":" '
			group == "\"\":" || $1 == group { inside = 1 }
			inside && $1 == member {
				sub(/,/, "", $2); print $2; exit
			}'
}

# make_keys: creates the cluster key and an operator's key, once.
make_keys() {
	[ -f "$DIR/cluster.key" ] && return
	od -An -tx1 -N32 /dev/urandom | tr -d ' \n' >"$DIR/cluster.key"
	OPERATOR=$("$SHORE" bundle keygen --name op --out "$DIR/op.key") ||
		die "the operator's key could not be created"
}

# write_settings NAME DOMAIN RACK [KEY_FILE]: writes the settings of an entry
# that listens on free ports.
write_settings() {
	make_keys
	cat >"$DIR/$1.conf" <<-END
	[instance]
	name = $1
	domain = $2
	rack = $3
	[listen]
	callers = ${CALLERS_ADDR:-127.0.0.1:0}
	peers = 127.0.0.1:0
	admin = 127.0.0.1:0
	[cluster]
	key_file = ${4:-$DIR/cluster.key}
	[platform]
	store = $STORE
	list_interval_ms = 200
	[operators]
	$OPERATOR
	[seeds]
	$SEEDS
	END
	[ -z "$LOG_FILE" ] || printf '[log]\nfile = %s\n' "$LOG_FILE" \
		>>"$DIR/$1.conf"
}

# port_of NAME callers|peers|admin: a port that the entry logged.
port_of() {
	sed -n "s/.*$2_port=\([0-9]*\).*/\1/p" "$DIR/$1.err" | tail -1
}

# launch_entry NAME: starts an entry whose settings have been written.
launch_entry() {
	spawn "$1" "$SHORE" entry --settings "$DIR/$1.conf"
	wait_for "$DIR/$1.err" callers_port= "$(pid_of "$1")" || return 1
	for which in callers peers admin
	do
		echo "127.0.0.1:$(port_of "$1" $which)" >"$DIR/$1.$which"
	done
	SEEDS="$SEEDS
$1 = $(cat "$DIR/$1.peers")"
	ENTRIES="$ENTRIES $1"
}

# start_entry NAME DOMAIN RACK: writes the settings and starts the entry.
start_entry() {
	write_settings "$1" "$2" "$3"
	launch_entry "$1" || die "entry $1 did not start: $(cat "$DIR/$1.err")"
}

# addr_of NAME callers|peers|admin: an address of the entry.
addr_of() {
	cat "$DIR/$1.$2"
}

# addrs WHICH [NAME...]: addresses of these or all entries, with commas.
addrs() {
	which=$1
	shift
	for e in ${*:-$ENTRIES}
	do
		addr_of "$e" "$which"
	done | paste -sd, -
}

# write_bundle VERSION DOMAIN...: writes $DIR/bundle with callers shop-1 to
# shop-4.
write_bundle() {
	{
		printf '[bundle]\nversion = %d\nsignoffs = 1\n' "$1"
		printf 'retention_ms = %d\n[signer op]\n' "$RETENTION_MS"
		shift
		for d in "$@"
		do
			printf '[domain %s]\n' "$d"
		done
		cat <<-END
		[service task]
		path = /task
		slots = $SERVICE_SLOTS
		END
		for i in 1 2 3 4
		do
			echo "shop-$i-token" >"$DIR/shop-$i.token"
			printf '[caller shop-%d]\nowner = op\nshare = %d\n' \
				$i $i
			"$SHORE" bundle token "$DIR/shop-$i.token"
		done
		for k in proof split close bulk
		do
			printf '[kind %s]\nservice = task\n' $k
			printf 'non_idempotent = no\ntime_limit_ms = %d\n' \
				$TIME_LIMIT_MS
		done
		for k in print payment
		do
			printf '[kind %s]\nservice = task\n' $k
			printf 'non_idempotent = yes\ntime_limit_ms = %d\n' \
				$TIME_LIMIT_MS
		done
	} >"$DIR/bundle"
	cat "$DIR"/shop-?.token >"$DIR/tokens"
}

# roll_bundle NAME: proposes, signs and rolls $DIR/bundle with an entry's
# settings.
roll_bundle() {
	for verb in "propose $DIR/bundle" \
		"sign $DIR/bundle --name op --key $DIR/op.key" roll
	do
		"$SHORE" bundle $verb --settings "$DIR/$1.conf" \
			>>"$DIR/bundle.out" 2>&1 ||
			die "bundle $verb: $(tail -1 "$DIR/bundle.out")"
	done
}

# wait_ready [NAME...]: waits until these or all entries are ready.
wait_ready() {
	"$SHORE" state --ready --wait $WAIT_S --admin "$(addrs admin "$@")" ||
		die "not all ready after $WAIT_S s: $(addrs admin "$@")"
}

# start_cluster [OPTION...]: a store, 8 targets and 4 entries in domains a and
# b, and a bundle. The options are those of the targets.
start_cluster() {
	start_store
	start_targets ta 4 a "$@"
	start_targets tb 4 b "$@"
	start_entry e1 a a-r1
	start_entry e2 a a-r2
	start_entry e3 b b-r1
	start_entry e4 b b-r2
	write_bundle 1 a b
	roll_bundle e1
	wait_ready
}

# start_small [COUNT [OPTION...]]: a store, COUNT targets and 2 entries in
# domain a, and a bundle.
start_small() {
	small_count=${1:-2}
	[ $# -gt 0 ] && shift
	start_store
	start_targets ta "$small_count" a "$@"
	start_entry e1 a a-r1
	start_entry e2 a a-r2
	write_bundle 1 a
	roll_bundle e1
	wait_ready
}

# run_load [OPTION...]: sends a load as all callers to all entries; writes
# load.json and load.err.
run_load() {
	"$SHORE" load --entry "$(addrs callers)" --tokens "$DIR/tokens" \
		--json "$@" >"$DIR/load.json" 2>"$DIR/load.err"
}

# load_summary: the errors and outcomes of the last run_load on one line.
load_summary() {
	head -c 300 "$DIR/load.err" | tr '\n' ' '
	sed -n '/"outcomes"/,/\]/p' "$DIR/load.json" | tr -d ' \n'
}

# load_number NAME: a number of the last run_load.
load_number() {
	sed -n "s/^ *\"$1\": \([0-9.]*\),*$/\1/p" "$DIR/load.json" | head -1
}

# jobs ENTRY ARGUMENT...: runs `sycamoreshore jobs` as caller shop-1.
jobs() {
	entry=$1
	shift
	"$SHORE" jobs --entry "$(addr_of "$entry" callers)" \
		--token-file "$DIR/shop-1.token" "$@"
}
