#!/usr/bin/env bash
# Guards against tasks of a durable job being executed again after they ended
# well: their owner stands still, is claimed, and goes on as companions have
# restarted that were not told of the claim.
set -u
cd "$(dirname "$0")/../.."
. tests/soak/play_scenario.sh

play kept_owner_woken || exit 1
grep -q '^kept 1 of 1$' "$DIR/out" || { cat "$DIR/out"; exit 1; }
cat "$DIR"/kept_owner_woken/entry-[12].log | grep -q '"LC311"' || { echo "no entry took the job over"; exit 1; }
grep -q '"LC312"' "$DIR"/kept_owner_woken/entry-0.log || { echo "the owner was not claimed"; exit 1; }
