#!/usr/bin/env bash
# Guards against two runs at once of a job that is not durable: a companion that
# was stalled for longer than lease and hold sends a copy of an unanswered
# start, which an upstream that has restarted under its name meanwhile executes,
# while the job's caller has submitted it elsewhere.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

"$BUILD/tests/scenario" stalled_start "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1
if grep '^violation' "$DIR/out"; then exit 1; fi
for step in "all starts are lost" "the job runs again" "the companions go on"; do
    grep -q "^step .*: $step$" "$DIR/out" || { cat "$DIR/out"; exit 1; }
done
restarted=$(cat "$DIR"/companion-*.log | grep -c "started again under its name")
[ "$restarted" -ge 4 ] || { echo "$restarted of 4 upstreams restarted under their names"; exit 1; }
