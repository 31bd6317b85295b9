#!/usr/bin/env bash
# Guards against an upstream that gets no more tasks, or a companion that ends,
# after one heartbeat of another writer with odd values under the upstream's id.
set -u
cd "$(dirname "$0")/../.."
. tests/soak/play_scenario.sh

play odd_heartbeats || exit 1
grep -q '^kept 1 of 1$' "$DIR/out" || { cat "$DIR/out"; exit 1; }
grep -q '"LC525".*ahead' "$DIR"/odd_heartbeats/companion-*.log || { echo "no heartbeat was ignored for what it says"; exit 1; }
grep -q '"LC601".*heartbeat of ' "$DIR"/odd_heartbeats/companion-*.log || { echo "no heartbeat was refused"; exit 1; }
