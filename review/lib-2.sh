# Functions for the scripts of this review: a small fleet of real processes on
# loopback, on the project's stand-in of the platform. A script sets RECORD, its
# record.txt, and sources this file. Exit: 1 the rule was broken, 0 it held, 2 the
# case could not run.

TROUBLE=${TROUBLE:-1}
SHORE=target/sycamoreshore
STANDIN=build/standin
DIR=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX") || exit 2
PIDS=
: >"$RECORD"

now_ms() {
	date +%s%3N
}

T0=$(now_ms)

# note TEXT...: a line of the record, with the time in ms since the start.
note() {
	echo "$(($(now_ms) - T0)) $*" >>"$RECORD"
}

is_running() {
	kill -0 "$1" 2>/dev/null &&
		! grep -q '^State:.Z' "/proc/$1/status" 2>/dev/null
}

end_all() {
	trap - EXIT INT TERM HUP
	for pid in $PIDS
	do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$DIR"
}

# finish CODE TEXT: records the result, ends all processes and exits.
finish() {
	note "result $1: $2"
	echo "$2"
	end_all
	exit "$1"
}

trap 'end_all; exit 2' EXIT INT TERM HUP

# spawn NAME COMMAND...
spawn() {
	spawned=$1
	shift
	"$@" >>"$DIR/$spawned.out" 2>>"$DIR/$spawned.err" &
	echo $! >"$DIR/$spawned.pid"
	PIDS="$PIDS $!"
}

pid_of() {
	cat "$DIR/$1.pid"
}

# wait_line FILE PATTERN: for 20 s.
wait_line() {
	left=400
	until grep -q "$2" "$1" 2>/dev/null
	do
		left=$((left - 1))
		[ $left -gt 0 ] || return 1
		sleep 0.05
	done
}

# ask METHOD ADDR PATH [OPTION...]: prints the answer's status, then its body.
ask() {
	method=$1
	addr=$2
	path=$3
	shift 3
	"$STANDIN" ask "$@" "$method" "$addr" "$path"
}

# start_platform OPTION...
start_platform() {
	spawn platform "$STANDIN" fleet "$@"
	wait_line "$DIR/platform.out" '^listening' ||
		finish 2 "the stand-in of the platform did not start"
	STORE=$(sed -n 's/^listening //p' "$DIR/platform.out")
	note "platform at $STORE: standin fleet $*"
}

# write_settings NAME DOMAIN: deploy/fleet.ini filled in as for a small site. An
# instance that starts again keeps its addresses. $DIR/NAME.store: its address of the
# store, if that is a proxy's.
write_settings() {
	store=$(cat "$DIR/$1.store" 2>/dev/null || echo "$STORE")
	callers=$(cat "$DIR/$1.callers" 2>/dev/null || echo 127.0.0.1:0)
	peers=$(cat "$DIR/$1.peers" 2>/dev/null || echo 127.0.0.1:0)
	admin=$(cat "$DIR/$1.admin" 2>/dev/null || echo 127.0.0.1:0)
	sed -e "s/{{nodeName}}/$1/" -e "s/{{zone}}/$2/" \
		-e 's/{{limits.cpuShare}}/0.25/' \
		-e 's/{{limits.cpuCores}}/1/' \
		-e 's/{{limits.linkMbps}}/1000.0/' \
		-e "s/{{listenAddresses.front}}/$callers/" \
		-e "s/{{ip}}:{{internalPortRange.0}}/$peers/" \
		-e "s/{{listenAddresses.ready}}/$admin/" \
		-e 's/{{region}}/at-sued/' \
		-e "s/^store = .*/store = $store/" \
		-e "s/{{platform.address}}/$STORE/" \
		-e 's/{{[#/]bounds[a-zA-Z.]*}}//g' \
		-e 's/{{bounds.configApplyMs}}/2000/' \
		-e '/evacuation/d' \
		-e 's/{{bounds.holdMaxMs}}/1000/' \
		deploy/fleet.ini >"$DIR/$1.conf"
}

# launch_instance NAME DOMAIN: with the command of deploy/system.toml.
launch_instance() {
	write_settings "$1" "$2"
	: >"$DIR/$1.out"
	spawn "$1" "$SHORE" fleet --settings "$DIR/$1.conf"
	note "instance $1 in $2 is started"
}

# learn_addresses NAME: waits until the instance is up.
learn_addresses() {
	wait_line "$DIR/$1.out" callers_port= || return 1
	for which in callers peers admin
	do
		sed -n "s/.*${which}_port=\([0-9]*\).*/127.0.0.1:\1/p" \
			"$DIR/$1.out" | tail -1 >"$DIR/$1.$which"
	done
	note "instance $1 is up, callers at $(cat "$DIR/$1.callers")"
}

# start_instance NAME DOMAIN
start_instance() {
	launch_instance "$1" "$2"
	learn_addresses "$1"
}

# is_ready NAME
is_ready() {
	ask GET "$(cat "$DIR/$1.admin")" /readyz | grep -q '^200'
}

# wait_ready NAME...
wait_ready() {
	for name in "$@"
	do
		left=400
		until is_ready "$name"
		do
			left=$((left - 1))
			[ $left -gt 0 ] ||
				finish 2 "$name was not ready in 20 s"
			sleep 0.05
		done
	done
}

# the_job TASKS RUN_MS: the body of a job of tasks of that run time.
the_job() {
	echo "{\"taskSpec\":\"run $2\",\"bestEffort\":true,\"steps\":[{\"count\":$1,\"cpu\":8000,\"memMb\":64,\"estimatedMs\":$2}]}"
}

# post NAME ID TASKS RUN_MS: submits a job and prints the answer's status and body.
# With SAYS_DEADLINE=no the request does not say how long its caller waits.
post() {
	note "POST /quick/$2 to $1"
	if [ "$SAYS_DEADLINE" = no ]
	then
		ask POST "$(cat "$DIR/$1.callers")" "/quick/$2" \
			--body "$(the_job "$3" "$4")"
	else
		ask POST "$(cat "$DIR/$1.callers")" "/quick/$2" \
			-H 'Deadline-Remaining-Ms: 30000' \
			--body "$(the_job "$3" "$4")"
	fi | tr '\n' ' ' >"$DIR/answer.$1.$2"
	note "answer to POST /quick/$2 at $1: $(cat "$DIR/answer.$1.$2")"
	cat "$DIR/answer.$1.$2"
}

# wait_served NAME...: until a job is served at each.
n_probes=0
wait_served() {
	for name in "$@"
	do
		left=100
		while :
		do
			n_probes=$((n_probes + 1))
			case $(post "$name" "$(printf 'ee%014x' $n_probes)" 2 60) in
			200*completed*) break ;;
			esac
			left=$((left - 1))
			[ $left -gt 0 ] ||
				finish 2 "$name served no job in 20 s"
			sleep 0.2
		done
	done
}

# starts ID: how many starts of the job's tasks the workers have carried out.
starts() {
	ask GET "$STORE" "/standin/job?id=$1" |
		sed -n 's/.*"starts":\([0-9]*\).*/\1/p'
}
