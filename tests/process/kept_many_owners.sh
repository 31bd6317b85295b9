#!/usr/bin/env bash
# Guards against a durable job that nobody owns, or that is started beside
# itself, once its owner has changed many times.
set -u
cd "$(dirname "$0")/../.."
. tests/soak/play_scenario.sh

play kept_many_owners || exit 1
grep -q '^kept 2 of 2$' "$DIR/out" || { cat "$DIR/out"; exit 1; }
grep -q '"LC311"' "$DIR"/kept_many_owners/entry-1.log || { echo "the job was not taken over"; exit 1; }
