#!/bin/sh
# Builds what the scripts in review/6 to review/10 start beside target/sycamoreshore:
# the project's stand-in of the platform, which is their client too; the same with
# room for 128 workers; and a proxy.
cd "$(dirname "$0")/.." || exit 2
set -e
make -j8 BUILD=build build/standin
rm -rf build/standin-large.src
mkdir build/standin-large.src
cp test/standin/*.[ch] build/standin-large.src
sed 's/FLEET_WORKERS_MAX = 64/FLEET_WORKERS_MAX = 128/' test/standin/fleet.h \
	>build/standin-large.src/fleet.h
cc -D_GNU_SOURCE -Iinclude -Isrc -I. -std=gnu11 -O2 -o build/standin-large \
	build/standin-large.src/*.c src/transport/http_server.c \
	src/transport/http_conn.c src/transport/address.c \
	src/transport/transport_error.c build/libsycamoreshore.a \
	-lev -lmsgpackc -lmicrohttpd -lcurl -lpopt -linih -lsodium -ljansson \
	-lxxhash -lm
cc -O2 -Wall -Wextra -o build/proxy-2 review/proxy-2.c
