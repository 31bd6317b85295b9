#!/usr/bin/env bash
# Builds what the cases 4 to 8 start, into target/review-2: one program each,
# with the project's stand-in of the store and the minions of review/stand-2.
# spare-2 holds tests that are no cases (REPORT-2.md).
# Needs the build of deploy/system.toml, and nothing from elsewhere.
set -eu
cd "$(dirname "$0")/.."
OUT=target/review-2
[ -x target/daemon/levercoved ] || { echo "build deploy/system.toml first" >&2; exit 1; }
mkdir -p "$OUT"
PACKAGES="glib-2.0 jansson libxxhash libtirpc libuv libh2o openssl"
# shellcheck disable=SC2046
set -- $(pkg-config --cflags $PACKAGES)
FLAGS="-std=c++17 -O1 -g -Wall -Wextra -D_GNU_SOURCE -I."
for source in tests/soak/store.cc tests/soak/process.cc; do
    # shellcheck disable=SC2086
    g++ $FLAGS "$@" -c "$source" -o "$OUT/$(basename "$source" .cc).o"
done
LIBS="target/daemon/libdaemon.a target/platform/libplatform.a target/lease/liblease.a
    target/core/libcore.a target/wire/libwire.a target/base/libbase.a"
for source in review/[4-8]/play.cc review/spare-2/*/play.cc; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    # shellcheck disable=SC2046,SC2086
    g++ $FLAGS "$@" "$source" "$OUT/store.o" "$OUT/process.o" -o "$OUT/case-$number" \
        -Wl,--start-group $LIBS -Wl,--end-group $(pkg-config --libs $PACKAGES) -lm -ldl -lpthread
done
echo "built: $(ls "$OUT" | grep ^case- | tr '\n' ' ')"
