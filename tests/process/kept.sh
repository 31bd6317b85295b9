#!/usr/bin/env bash
# Kept jobs survive the death of their entry, the loss of all power, and a
# store that does not answer one entry; none runs twice, each has its outcome.
set -u
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
port=$((20000 + $$ % 100 * 100))

# play NAME: all twelve jobs are accepted and done, nothing is violated
play() {
    mkdir "$DIR/$1"
    "$BUILD/tests/scenario" "$1" "$PWD/$BUILD/daemon/levercoved" "$DIR/$1" "$port" >"$DIR/$1/out" 2>&1 ||
        { cat "$DIR/$1/out"; exit 1; }
    grep -q '^kept 12 of 12$' "$DIR/$1/out" && ! grep -q '^violation' "$DIR/$1/out" ||
        { echo "$1: $(cat "$DIR/$1/out")"; exit 1; }
}

play kept_owner_dies
grep -q '"event":"LC311"' "$DIR/kept_owner_dies/entry-1.log" || { echo "no takeover"; exit 1; }
play kept_power_loss
play kept_store_away
