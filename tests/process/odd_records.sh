#!/usr/bin/env bash
# Guards against a reader of the store that ends, stops, or skips good records,
# as another writer's stand beside them that are hard to decode.
set -u
cd "$(dirname "$0")/../.."
. tests/soak/play_scenario.sh

play odd_records || exit 1
grep -q '^kept 24 of 24$' "$DIR/out" || { cat "$DIR/out"; exit 1; }
grep -q '^answers: .* 5xx 0, none 0,' "$DIR/out" || { cat "$DIR/out"; exit 1; }
grep -q '"LC204".*cannot be decoded' "$DIR"/odd_records/entry-*.log || { echo "no odd record was logged"; exit 1; }
grep -q '"LC204".*cannot be decoded' "$DIR"/odd_records/companion-0.log || { echo "a companion has logged no odd record"; exit 1; }
