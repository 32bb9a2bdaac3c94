#!/bin/sh
# Builds a clean clone by the command in deploy/system.toml and checks that
# the settings template, filled in, is accepted by the program built.
set -e
cd "$(dirname "$0")/.."
dir=$(mktemp -d "${TMPDIR:-/tmp}/sycamoreshore-deploy.XXXXXX")
trap 'rm -rf "$dir"' EXIT
git clone -q . "$dir/clone"
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
(cd "$dir/clone" && sh -c "$build" >"$dir/build.out" 2>&1) || {
	tail -20 "$dir/build.out"
	echo "deploy: the build failed" >&2
	exit 1
}
sed -e 's/{{nodeName}}/front-a-1/; s/{{zone}}/a/; s/{{region}}/r/' \
	-e 's/{{listenAddresses.front}}/10.0.0.1:8161/' \
	-e 's/{{listenAddresses.ready}}/10.0.0.1:8167/' \
	-e 's/{{ip}}:{{internalPortRange.0}}/10.0.0.1:7720/' \
	-e 's/{{platform.address}}/10.0.0.9:8169/' \
	-e 's/{{bounds.holdMaxMs}}/1000/' deploy/fleet.ini >"$dir/fleet.ini"
if grep '{{' "$dir/fleet.ini"
then
	echo "deploy: a placeholder that this check does not know" >&2
	exit 1
fi
"$dir/clone/target/sycamoreshore" fleet --check --settings "$dir/fleet.ini"
for p in $(sed -n 's/^packages = \[\(.*\)\]/\1/p' deploy/system.toml |
	tr -d '",')
do
	grep -qw -e "$p" install-deps || {
		echo "deploy: install-deps lacks $p" >&2
		exit 1
	}
done
echo "ok deploy"
