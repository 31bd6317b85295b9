#!/usr/bin/env bash
# Guards against tasks of a durable job being executed again after they ended
# well: their owner stands still, is claimed, and goes on as companions have
# restarted that were not told of the claim.
set -u
cd "$(dirname "$0")/../.."
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

"$BUILD/tests/scenario" kept_owner_woken "$PWD/$BUILD/daemon/levercoved" "$DIR" $((20000 + $$ % 100 * 100)) >"$DIR/out" 2>&1
if grep '^violation' "$DIR/out"; then exit 1; fi
grep -q '^kept 1 of 1$' "$DIR/out" || { cat "$DIR/out"; exit 1; }
cat "$DIR"/entry-[12].log | grep -q '"LC311"' || { echo "no entry took the jobs over"; exit 1; }
grep -q '"LC312"' "$DIR"/entry-0.log || { echo "the owner was not claimed"; exit 1; }
