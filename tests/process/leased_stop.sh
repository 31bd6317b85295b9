#!/usr/bin/env bash
# The graceful shutdown of an entry of leased jobs under load must not abort
# anything: every request that it accepted gets its result, and it exits by
# itself.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
"$BUILD/tests/scenario" planned_stop "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1 ||
    { cat "$DIR/out"; exit 1; }
grep -qE 'answers: 2xx [0-9]+, 5xx 0, none 0' "$DIR/out" ||
    { echo "aborted or refused: $(cat "$DIR/out")"; exit 1; }
for event in LC101 LC102; do
    grep -q "\"event\":\"$event\"" "$DIR/entry-0.log" || { echo "no $event"; exit 1; }
done
