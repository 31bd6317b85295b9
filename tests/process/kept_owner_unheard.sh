#!/usr/bin/env bash
# Guards against tasks of durable jobs being executed again after they ended
# well: their owner restarts and hears no companion for a while.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

"$BUILD/tests/scenario" kept_owner_unheard "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1
if grep '^violation' "$DIR/out"; then exit 1; fi
grep -q '^kept 75 of 75$' "$DIR/out" || { cat "$DIR/out"; exit 1; }
grep -q '"LC311"' "$DIR"/entry-0.log || { echo "the restarted owner did not take over its jobs"; exit 1; }
