#!/usr/bin/env bash
# Guards against a durable job's task running at two upstreams at once, or
# again after its end was acknowledged: as late_starts, with upstreams that
# fail tasks intermittently, so that tasks are retried while earlier starts are
# unanswered.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

"$BUILD/tests/scenario" late_retries "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1
if grep '^violation' "$DIR/out"; then exit 1; fi
grep -q ' of 400$' "$DIR/out" || { cat "$DIR/out"; exit 1; }
grep -q "started again under its name" "$DIR"/companion-*.log || { echo "no upstream restarted under its name"; exit 1; }
