#!/usr/bin/env bash
# Guards against a durable job's task being executed again after its end was
# acknowledged: upstreams crash and restart under the same names while
# unanswered starts are executed seconds late, some of them by the next
# incarnation.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

"$BUILD/tests/scenario" late_starts "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1
if grep '^violation' "$DIR/out"; then exit 1; fi
grep -q ' of 400$' "$DIR/out" || { cat "$DIR/out"; exit 1; }
grep -q 'started again under its name' "$DIR"/companion-*.log || { echo "no upstream restarted under its name"; exit 1; }
