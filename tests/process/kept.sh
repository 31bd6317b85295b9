#!/usr/bin/env bash
# Durable jobs must survive a crash of their entry, a power loss of all
# processes, and a store that does not answer one entry: no task may run twice,
# and each job must be done.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
port=$PORT_BASE

# play_scenario NAME: all 12 jobs must be accepted and done without a violation
play_scenario() {
    mkdir "$DIR/$1"
    "$BUILD/tests/scenario" "$1" "$PWD/$BUILD/daemon/levercoved" "$DIR/$1" "$port" >"$DIR/$1/out" 2>&1 ||
        { cat "$DIR/$1/out"; exit 1; }
    grep -q '^kept 12 of 12$' "$DIR/$1/out" && ! grep -q '^violation' "$DIR/$1/out" ||
        { echo "$1: $(cat "$DIR/$1/out")"; exit 1; }
}

play_scenario kept_owner_dies
grep -q '"event":"LC311"' "$DIR/kept_owner_dies/entry-1.log" || { echo "no takeover"; exit 1; }
play_scenario kept_power_loss
play_scenario kept_store_away
