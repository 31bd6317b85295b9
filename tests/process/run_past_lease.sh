#!/usr/bin/env bash
# Guards against two runs at once of a job that is not durable: an upstream that
# leaves the stop of a run unanswered is held for the tasks of other entries,
# and so goes on with the run of an entry that is gone, or of a caller that has
# hung up, when the caller has submitted the job elsewhere.
set -u
cd "$(dirname "$0")/../.."
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

play() {
    mkdir "$DIR/$1"
    "$BUILD/tests/scenario" "$1" "$PWD/$BUILD/daemon/levercoved" "$DIR/$1" $((20000 + $$ % 100 * 100)) >"$DIR/out" 2>&1
    if grep '^violation' "$DIR/out"; then return 1; fi
    for step in "the job runs" "$2" "its stop is ignored" "another entry has started a task beside it" \
        "the hold of the run has ended" "the job is submitted again" "the job runs again"; do
        grep -q "^step .*: $step$" "$DIR/out" || { cat "$DIR/out"; echo "not reached: $step"; return 1; }
    done
}

failed=0
play run_past_lease "its owner is gone" || failed=1
play run_past_halt "its owner is up" || failed=1
exit $failed
