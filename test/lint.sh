#!/bin/sh
# The layers' include rule: transport < protocol < coordination, state, drive
# < fleet, core < cmd, platform; a lower layer never includes a higher one.
# Names of the platform stand in platform/ alone. Public headers compile
# alone.
cd "$(dirname "$0")/.." || exit 2
bad=0

forbid() {
	layer=$1
	shift
	for higher in "$@"
	do
		if grep -rn "#include \"$higher/" "src/$layer"
		then
			echo "lint: $layer includes $higher" >&2
			bad=1
		fi
	done
}

forbid util transport protocol coordination state drive fleet core cmd platform
forbid transport protocol coordination state drive fleet core cmd platform
forbid protocol coordination state drive fleet core cmd platform
forbid coordination transport state drive fleet core cmd platform
forbid state transport coordination drive fleet core cmd platform
forbid drive transport protocol coordination state fleet core cmd platform
forbid fleet transport coordination state core cmd platform
forbid core transport drive fleet cmd platform

# The platform's names stand in platform/ alone. Those that are plain words
# anywhere ("state", "run") cannot be told apart and are left out.
sed -n 's/^#define [A-Z_]* "\([^"]*\)".*/\1/p' platform/names.h |
	grep -E '[a-z][A-Z]|[-/]' >"${TMPDIR:-/tmp}/platform-names.$$"
if grep -rnFwf "${TMPDIR:-/tmp}/platform-names.$$" src include
then
	echo "lint: a name of the platform stands outside platform/" >&2
	bad=1
fi
rm -f "${TMPDIR:-/tmp}/platform-names.$$"

for h in include/sycamoreshore/*.h
do
	cc -std=gnu11 -Wall -Wextra -Werror -Iinclude -fsyntax-only \
		-x c "$h" || bad=1
done
if grep -rnE '^\s*typedef' src include
then
	echo "lint: no typedefs" >&2
	bad=1
fi
exit $bad
