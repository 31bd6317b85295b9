#!/bin/sh
# Builds the stand-ins of the cases review/9 to review/13, after the build of
# the deploy file: the project's own store and upstream (tests/soak), and the
# program that plays a case.
set -eu
cd "$(dirname "$0")/.."
out=review/stand-3/build-out
packages="glib-2.0 jansson libxxhash libtirpc libuv libh2o openssl"
mkdir -p "$out"
# A minion lists 500 ends at once (PROTOCOL.md); the project's stand-in all. It
# copies its list of runs at each tick, which is too slow for thousands of them,
# and knows one service.
sed -e 's/i < ended.size(); i++/i < ended.size() \&\& i < 500; i++/' \
    -e 's/TICK_MS = 2;/TICK_MS = 10;/' \
    -e 's/request.body = body.data();/std::string own = own_service(name, body); request.body = own.data();/' \
    -e 's/request.length = body.size();/request.length = own.size();/' \
    -e 's/^#include "tests.soak.upstream.h"/&\nstd::string own_service(const std::string \&name, const std::string \&body);/' \
    tests/soak/upstream.cc >"$out/upstream.cc"
grep -q 'i < 500' "$out/upstream.cc"
grep -q 'TICK_MS = 10' "$out/upstream.cc"
grep -q 'own_service(name, body)' "$out/upstream.cc"
for name in process store; do
    c++ -std=c++17 -O2 -D_GNU_SOURCE -I. -Itarget $(pkg-config --cflags $packages) \
        -c "tests/soak/$name.cc" -o "$out/$name.o"
done
c++ -std=c++17 -O2 -D_GNU_SOURCE -I. -Itarget $(pkg-config --cflags $packages) \
    -c "$out/upstream.cc" -o "$out/upstream.o"
c++ -std=c++17 -O2 -D_GNU_SOURCE -I. -Itarget $(pkg-config --cflags $packages) \
    -c tests/upstream_model.cc -o "$out/upstream_model.o"
c++ -std=c++17 -O2 -Wall -Wextra -D_GNU_SOURCE -I. -Itarget \
    $(pkg-config --cflags $packages) -c review/stand-3/play.cc -o "$out/play.o"
c++ "$out"/*.o target/daemon/libdaemon.a target/core/libcore.a \
    target/lease/liblease.a target/platform/libplatform.a \
    target/lease/liblease.a target/wire/libwire.a target/base/libbase.a \
    $(pkg-config --libs $packages) -o "$out/play"
