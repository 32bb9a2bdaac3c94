#!/bin/sh
# Checks that no layer includes a higher one. From the lowest to the highest
# the layers are: util, policy/transport, protocol, coordination/state/drive,
# fleet/core, cmd/platform. Also checks that the platform's names occur in
# platform/ only, that each public header compiles by itself, and that there
# are no typedefs.
cd "$(dirname "$0")/.." || exit 2
failed=0

forbid() {
	layer=$1
	shift
	for higher in "$@"
	do
		if grep -rn "#include \"$higher/" "src/$layer"
		then
			echo "lint: src/$layer must not include $higher/" >&2
			failed=1
		fi
	done
}

forbid util policy transport protocol coordination state drive fleet core cmd platform
forbid policy transport protocol coordination state drive fleet core cmd platform
forbid transport policy protocol coordination state drive fleet core cmd platform
forbid protocol policy coordination state drive fleet core cmd platform
forbid coordination policy transport state drive fleet core cmd platform
forbid state policy transport coordination drive fleet core cmd platform
forbid drive transport protocol coordination state fleet core cmd platform
forbid fleet transport coordination state core cmd platform
forbid core transport drive fleet cmd platform

# The platform's names occur in platform/ only. Names that are ordinary words
# ("state", "run") cannot be distinguished from other uses and are not checked.
sed -n 's/^#define [A-Z_]* "\([^"]*\)".*/\1/p' platform/names.h |
	grep -E '[a-z][A-Z]|[-/]' >"${TMPDIR:-/tmp}/platform-names.$$"
if grep -rnFwf "${TMPDIR:-/tmp}/platform-names.$$" src include
then
	echo "lint: a name from platform/names.h occurs in src or include" >&2
	failed=1
fi
rm -f "${TMPDIR:-/tmp}/platform-names.$$"

for h in include/sycamoreshore/*.h
do
	cc -std=gnu11 -Wall -Wextra -Werror -Iinclude -fsyntax-only \
		-x c "$h" || failed=1
done
if grep -rnE '^\s*typedef' src include
then
	echo "lint: typedefs are not allowed in src and include" >&2
	failed=1
fi
exit $failed
