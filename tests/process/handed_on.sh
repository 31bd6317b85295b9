#!/usr/bin/env bash
# All callers submit at one entry whose link has bandwidth for less than half
# of their jobs. It must forward jobs so that at least 98% of all jobs are done.
# If the delegates are killed, at least 90% must be done; if the origin is frozen
# until all leases have expired, 40%. No task may ever run twice.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

# play_scenario NAME PORTS: writes output and logs to its own folder
play_scenario() {
    mkdir "$DIR/$1"
    "$BUILD/tests/scenario" "$1" "$PWD/$BUILD/daemon/levercoved" "$DIR/$1" "$2" >"$DIR/$1/out" 2>&1
    if grep '^violation' "$DIR/$1/out"; then exit 1; fi
    grep -q '"event":"LC518"' "$DIR/$1/entry-0.log" || { echo "$1: no job was forwarded"; exit 1; }
    cat "$DIR/$1"/entry-[12].log | grep -q '"event":"LC519"' || { echo "$1: no forwarded job was received"; exit 1; }
}

# expect_done NAME PERCENT: fails if less than PERCENT of the sent jobs are
# done
expect_done() {
    awk -v least="$2" '$1 == "second" { sent += $4; done += $6 }
        END { if (sent < 150 || 100 * done < least * sent) { print done " of " sent " done"; exit 1 } }' "$DIR/$1/out" ||
        { cat "$DIR/$1/out"; exit 1; }
}

PORTS=$PORT_BASE
play_scenario handed_on "$PORTS"
expect_done handed_on 98
play_scenario taker_dies "$PORTS"
expect_done taker_dies 90
# 40% only: requests that arrive during the freeze are too many for the link.
play_scenario origin_frozen "$PORTS"
expect_done origin_frozen 40
