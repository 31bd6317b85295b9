#!/usr/bin/env bash
# Guards against two runs at once of a job that is not durable: an upstream that
# has restarted under its name executes an unanswered start late, before its
# companion knows of the restart, while the job's caller has submitted it
# elsewhere.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

play() {
    mkdir "$DIR/$1"
    "$BUILD/tests/scenario" "$1" "$PWD/$BUILD/daemon/levercoved" "$DIR/$1" $PORT_BASE >"$DIR/out" 2>&1
    if grep '^violation' "$DIR/out"; then return 1; fi
    for step in "the start is kept" "the job is submitted again" "the job \($2\|is held back\)" \
        "the upstream has restarted" "the late start is executed" "the late run has ended"; do
        grep -q "^step .*: $step$" "$DIR/out" || { cat "$DIR/out"; return 1; }
    done
    restarted=$(cat "$DIR/$1"/companion-*.log | grep -c "started again under its name")
    [ "$restarted" -ge 1 ] || { cat "$DIR/out"; echo "no upstream restarted under its name"; return 1; }
}

failed=0
play late_copy "runs again" || failed=1
play late_copy_first "starts again" || failed=1
exit $failed
