#!/usr/bin/env bash
# Nobody reads an entry's log under load: requests must be answered as fast as
# usual, dropped log lines must be counted, and lines about failures must be
# kept in preference to others.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
"$BUILD/tests/scenario" stalled_reader "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1 ||
    { cat "$DIR/out"; exit 1; }
grep -qE 'answers: 2xx [0-9]+, 5xx [1-9][0-9]+, none 0' "$DIR/out" ||
    { echo "requests without an answer: $(cat "$DIR/out")"; exit 1; }
grep -q '"event":"LC107"' "$DIR/entry-0.log" ||
    { echo "dropped lines were not logged; $(wc -c <"$DIR/entry-0.log") bytes"; cat "$DIR/out"; exit 1; }
