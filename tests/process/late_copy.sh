#!/usr/bin/env bash
# Guards against two runs at once of a job that is not durable: an upstream that
# has restarted under its name executes an unanswered start late, before its
# companion knows of the restart, while the job's caller has submitted it
# elsewhere.
set -u
cd "$(dirname "$0")/../.."
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

"$BUILD/tests/scenario" late_copy "$PWD/$BUILD/daemon/levercoved" "$DIR" $((20000 + $$ % 100 * 100)) >"$DIR/out" 2>&1
if grep '^violation' "$DIR/out"; then exit 1; fi
for step in "the start is kept" "the job is submitted again" "the job \(runs again\|is held back\)" \
    "the upstream has restarted" "the late start is executed" "the late run has ended"; do
    grep -q "^step .*: $step$" "$DIR/out" || { cat "$DIR/out"; exit 1; }
done
restarted=$(cat "$DIR"/companion-*.log | grep -c "started again under its name")
[ "$restarted" -ge 1 ] || { cat "$DIR/out"; echo "no upstream restarted under its name"; exit 1; }
