#!/usr/bin/env bash
# Guards against a task running at two upstreams at once because a companion
# that was stalled for longer than its lease sends a copy of an unanswered
# start, which the upstream executes after a restart under its name: companions
# are stopped around such restarts, and entries are killed so that callers
# resubmit their jobs, which are not durable. SEED draws other moments.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
export SEED=${SEED:-1}

"$BUILD/tests/scenario" stalled_companions "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1
if grep '^violation' "$DIR/out"; then
    grep '^seed' "$DIR/out"
    exit 1
fi
grep -q "started again under its name" "$DIR"/companion-*.log || { cat "$DIR/out"; echo "no upstream restarted under its name"; exit 1; }
