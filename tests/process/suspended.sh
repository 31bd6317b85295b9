#!/usr/bin/env bash
# Machines of companions are suspended under load: their steady clocks stop
# while all other processes run on. Calls that waited in their socket buffers
# must not start tasks, no task may have two runs at once, and service must go
# on.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
# Preloads a library, which the sanitizers do not support.
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
mkdir "$DIR/suspended"
SUSPENDED="$DIR/suspended" LD_PRELOAD="$PWD/$BUILD/tests/libsuspended_clock.so" \
    "$BUILD/tests/scenario" suspended "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1
if grep '^violation' "$DIR/out"; then exit 1; fi
for companion in 0 1; do
    grep -q '"event":"LC317"' "$DIR/companion-$companion.log" || { echo "companion $companion did not notice its suspension"; exit 1; }
done
awk '$1 == "second" { sent += $4; done += $6 }
    END { if (sent < 100 || done < 0.9 * sent) { print done " of " sent " done"; exit 1 } }' "$DIR/out" || { cat "$DIR/out"; exit 1; }
