#!/usr/bin/env bash
# All callers come to one entry whose link carries less than half of their jobs
# by itself. It hands jobs on and all are done; entries that die with them, and
# a freeze of the first beyond all leases, let no task run twice.
set -u
cd "$(dirname "$0")/../.."
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

# play NAME PORTS: output and logs in a folder of its own
play() {
    mkdir "$DIR/$1"
    "$BUILD/tests/scenario" "$1" "$PWD/$BUILD/daemon/levercoved" "$DIR/$1" "$2" >"$DIR/$1/out" 2>&1
    if grep '^violation' "$DIR/$1/out"; then exit 1; fi
    grep -q '"event":"LC518"' "$DIR/$1/entry-0.log" || { echo "$1: nothing was handed on"; exit 1; }
    cat "$DIR/$1"/entry-[12].log | grep -q '"event":"LC519"' || { echo "$1: nothing was taken"; exit 1; }
}

# done_of NAME PERCENT: so many of the jobs that were sent are done
done_of() {
    awk -v least="$2" '$1 == "second" { sent += $4; done += $6 }
        END { if (sent < 150 || 100 * done < least * sent) { print done " of " sent " done"; exit 1 } }' "$DIR/$1/out" ||
        { cat "$DIR/$1/out"; exit 1; }
}

PORTS=$((20000 + $$ % 100 * 100))
play handed_on "$PORTS"
done_of handed_on 98
play taker_dies "$PORTS"
done_of taker_dies 90
# What came while it stood still is more than its link carries at once.
play origin_frozen "$PORTS"
done_of origin_frozen 40
