#!/usr/bin/env bash
# Operators close a hall while no entry reaches the store: its companion must
# learn of it from the store itself, and no task may start in the hall. Then
# all processes are killed, and the hall is opened as the store expires its
# history: all processes must know within a second.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
OPENED_S=12 # second of the scenario in which the hall is opened

"$BUILD/tests/scenario" closed_hall "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1
grep '^violation' "$DIR/out" && exit 1
grep -h LC405 "$DIR"/companion-*.log | grep -q '"source":"the store","own_hall_closed":true' ||
    { echo "no companion learned of its closed hall from the store"; exit 1; }
for log in "$DIR"/*.log; do
    grep LC405 "$log" | tail -n 1 | grep -q '"closed":""' ||
        { echo "$(basename "$log"): the hall was not opened again"; exit 1; }
done
awk -v from=$((OPENED_S + 1)) '
    $1 == "second" && $2 + 0 >= from && $4 + 0 != $6 + 0 { print; wrong = 1 }
    $1 == "second" { sent += $4; done += $6 }
    END { if (sent < 200 || done < 0.85 * sent) { print done + 0 " of " sent + 0 " done"; wrong = 1 }
          exit wrong }' "$DIR/out" || { cat "$DIR/out"; exit 1; }
