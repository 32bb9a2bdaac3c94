# Functions for tests of a fleet of real processes, on the platform's stand-in.
# Source it after case.sh. FLEET_SETTINGS holds further lines of settings, and
# PLATFORM_OPTIONS those of the stand-in.

n_jobs=0

# start_platform WORKERS: the workers alternate between the domains d0 and d1.
start_platform() {
	spawn platform "$STANDIN" fleet --workers "$1" --run-ms 60 \
		$PLATFORM_OPTIONS
	wait_for "$DIR/platform.out" listening "$(pid_of platform)" ||
		die "the platform's stand-in did not start"
	STORE=$(sed -n 's/^listening //p' "$DIR/platform.out")
}

# start_instance NAME DOMAIN
start_instance() {
	cat >"$DIR/$1.conf" <<-END
	[instance]
	name = $1
	domain = $2
	[listen]
	callers = 127.0.0.1:0
	peers = 127.0.0.1:0
	admin = 127.0.0.1:0
	[cluster]
	name = process test
	[platform]
	store = $STORE
	$FLEET_SETTINGS
	END
	spawn "$1" "$SHORE" fleet --settings "$DIR/$1.conf"
	wait_for "$DIR/$1.out" callers_port= "$(pid_of "$1")" ||
		die "$1 did not start"
	for which in callers admin
	do
		sed -n "s/.*${which}_port=\([0-9]*\).*/127.0.0.1:\1/p" \
			"$DIR/$1.out" | tail -1 >"$DIR/$1.$which"
	done
}

# wait_ready NAME: waits until /readyz of the instance answers 200.
wait_ready() {
	left=$((WAIT_S * 20))
	until ask GET "$(cat "$DIR/$1.admin")" /readyz | grep -q '^200'
	do
		left=$((left - 1))
		[ "$left" -gt 0 ] || die "$1 is not ready after $WAIT_S s"
		sleep 0.05
	done
}

# job NAME: submits a job of four tasks and prints the answer's status.
job() {
	n_jobs=$((n_jobs + 1))
	ask POST "$(cat "$DIR/$1.callers")" \
		"/quick/$(printf '%016x' $n_jobs)" --body \
		'{"taskSpec":"x","bestEffort":true,"steps":[{"count":4,"cpu":8000,"memMb":64,"estimatedMs":60}]}' |
		head -1
}

# wait_served NAME: waits until a job is served; jobs may be refused before.
wait_served() {
	left=$((WAIT_S * 5))
	until [ "$(job "$1")" = 200 ]
	do
		left=$((left - 1))
		[ "$left" -gt 0 ] || die "$1 serves no job after $WAIT_S s"
		sleep 0.2
	done
}

# drivers NAME...: those of these instances that drive, a line each.
drivers() {
	for name in "$@"
	do
		ask GET "$(cat "$DIR/$name.admin")" /metrics |
			grep -q '^sycamoreshore_drives 1' && echo "$name"
	done
	return 0
}

# driver NAME...: the first of these instances that is the driver.
driver() {
	drivers "$@" | head -1
}

# counts MEMBER: a count of the platform's stand-in.
counts() {
	ask GET "$STORE" /standin/counts | sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"
}

# knobs SETTING: sets a knob of the platform's stand-in.
knobs() {
	ask PUT "$STORE" "/standin/knobs?$1" >/dev/null
}

# config_version NAME: the version that is in force at the instance.
config_version() {
	ask GET "$(cat "$DIR/$1.admin")" /metrics |
		sed -n 's/^sycamoreshore_config_version \([0-9]*\).*/\1/p'
}

# wait_config VERSION NAME...: waits until it is in force at the instances.
wait_config() {
	version=$1
	shift
	for name in "$@"
	do
		left=$((WAIT_S * 20))
		until [ "$(config_version "$name")" -eq "$version" ]
		do
			left=$((left - 1))
			[ "$left" -gt 0 ] || die "$name lacks version $version"
			sleep 0.05
		done
	done
}
