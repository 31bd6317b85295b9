#!/usr/bin/env bash
# Under load, all open connections are black-holed for good: of all kinds
# together in both directions and in each alone, and of each kind alone; new
# ones work. Two seconds later every job must be done again, and new routes
# must be in force.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
PORT=$PORT_BASE
SILENT_S=4 # second of the scenario in which connections are black-holed

# play_scenario NAME NUMBER
play_scenario() {
    mkdir "$DIR/$1"
    "$BUILD/tests/scenario" "silent_$1" "$PWD/$BUILD/daemon/levercoved" "$DIR/$1" $((PORT + $2 * 12)) >"$DIR/$1/out" 2>&1
}

# check NAME: prints everything that is wrong
check() {
    grep -H '^violation' "$DIR/$1/out"
    awk -v name="$1" -v from=$((SILENT_S + 2)) '
        $1 == "second" && $2 + 0 >= from && $4 + 0 != $6 + 0 { print name ": " $0 }
        $1 == "second" { sent += $4; done += $6 }
        END { if (sent < 200 || done < 0.9 * sent) print name ": " done " of " sent " done" }' "$DIR/$1/out"
}

number=0
for name in both in out entries companions upstreams store; do
    play_scenario "$name" "$number" &
    number=$((number + 1))
    [ $((number % 3)) = 0 ] && wait
done
wait
wrong=$(for name in both in out entries companions upstreams store; do check "$name"; done)
[ -z "$wrong" ] || { echo "$wrong"; exit 1; }
