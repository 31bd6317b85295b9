#!/usr/bin/env bash
# All connections that are open go silent for good under load, of every kind
# together and of each kind alone, both ways and one way; new ones work. Two
# seconds later every job is done again, and a change of the routes is in force.
set -u
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
PORT=$((20000 + $$ % 100 * 100))
SILENT_S=4 # second of the scenario's clock

# play NAME NUMBER
play() {
    mkdir "$DIR/$1"
    "$BUILD/tests/scenario" "silent_$1" "$PWD/$BUILD/daemon/levercoved" "$DIR/$1" $((PORT + $2 * 12)) >"$DIR/$1/out" 2>&1
}

# check NAME: prints what is wrong
check() {
    grep -H '^violation' "$DIR/$1/out"
    awk -v name="$1" -v from=$((SILENT_S + 2)) '
        $1 == "second" && $2 + 0 >= from && $4 + 0 != $6 + 0 { print name ": " $0 }
        $1 == "second" { sent += $4; done += $6 }
        END { if (sent < 200 || done < 0.9 * sent) print name ": " done " of " sent " done" }' "$DIR/$1/out"
}

number=0
for name in both in out entries companions upstreams store; do
    play "$name" "$number" &
    number=$((number + 1))
    [ $((number % 3)) = 0 ] && wait
done
wait
wrong=$(for name in both in out entries companions upstreams store; do check "$name"; done)
[ -z "$wrong" ] || { echo "$wrong"; exit 1; }
