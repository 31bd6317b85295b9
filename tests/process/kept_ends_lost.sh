#!/usr/bin/env bash
# Runs of durable jobs whose ends were lost when both companions and upstreams
# restarted must not be started again under the same run number.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

"$BUILD/tests/scenario" kept_ends_lost "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1
grep -q '^kept 50 of 50$' "$DIR/out" && ! grep -q '^violation' "$DIR/out" || { cat "$DIR/out"; exit 1; }
grep -q '"orphaned"' "$DIR"/entry-*.log || { echo "no companion was queried for the outcome of a run"; exit 1; }
