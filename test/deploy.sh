#!/bin/sh
# Builds a clean clone with the command in deploy/system.toml. Checks that the
# program accepts deploy/fleet.ini after its placeholders have been replaced,
# and that install-deps installs the packages of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
dir=$(mktemp -d "${TMPDIR:-/tmp}/sycamoreshore-deploy.XXXXXX")
trap 'rm -rf "$dir"' EXIT
git clone -q . "$dir/clone"
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
(cd "$dir/clone" && sh -c "$build" >"$dir/build.out" 2>&1) || {
	tail -20 "$dir/build.out"
	echo "deploy: the build command of deploy/system.toml failed" >&2
	exit 1
}
sed -e 's/{{nodeName}}/front-a-1/; s/{{zone}}/a/; s/{{region}}/r/' \
	-e 's/{{listenAddresses.front}}/10.0.0.1:8161/' \
	-e 's/{{listenAddresses.ready}}/10.0.0.1:8167/' \
	-e 's/{{ip}}:{{internalPortRange.0}}/10.0.0.1:7720/' \
	-e 's/{{platform.address}}/10.0.0.9:8169/' \
	-e 's/{{limits.cpuShare}}/0.25/; s/{{limits.cpuCores}}/1/' \
	-e 's/{{limits.linkMbps}}/1000.0/' \
	-e 's/{{[#/]bounds.configApplyMs}}//g' \
	-e 's/{{bounds.configApplyMs}}/2000/' \
	-e 's/{{[#/]bounds.evacuationMs}}//g' \
	-e 's/{{bounds.evacuationMs}}/5000/' \
	-e 's/{{bounds.holdMaxMs}}/1000/' deploy/fleet.ini >"$dir/fleet.ini"
if grep '{{' "$dir/fleet.ini"
then
	echo "deploy: this check does not replace the placeholder above" >&2
	exit 1
fi
# The platform may not know the grace period.
for grace in 6 4.5 ''
do
	run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml |
		sed -e "s|{{bounds.gracePeriodS}}|$grace|" \
			-e "s|/etc/sycamoreshore/node.toml|$dir/fleet.ini|")
	(cd "$dir/clone" && $run --check) || {
		echo "deploy: refused with a grace period of '$grace'" >&2
		exit 1
	}
done
for package in $(sed -n 's/^packages = \[\(.*\)\]/\1/p' deploy/system.toml |
	tr -d '",')
do
	grep -qw -e "$package" install-deps || {
		echo "deploy: install-deps does not install $package" >&2
		exit 1
	}
done
echo "ok deploy"
