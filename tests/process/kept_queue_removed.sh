#!/usr/bin/env bash
# Guards against tasks of durable jobs being executed again after they ended
# well: their owner is replaced while operators have removed their queue.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

"$BUILD/tests/scenario" kept_queue_removed "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1
if grep '^violation' "$DIR/out"; then exit 1; fi
grep -q '^kept 12 of 12$' "$DIR/out" || { cat "$DIR/out"; exit 1; }
grep -q '"LC320"' "$DIR"/entry-1.log || { echo "no entry took over a job without its queue"; exit 1; }
