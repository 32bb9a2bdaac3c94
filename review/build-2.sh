#!/bin/sh
# Builds what the scripts in review/6 to review/10 start beside target/sycamoreshore:
# the project's stand-in of the platform, which is their client too, and a proxy.
cd "$(dirname "$0")/.." || exit 2
make -j8 BUILD=build build/standin || exit 1
exec cc -O2 -Wall -Wextra -o build/proxy-2 review/proxy-2.c
