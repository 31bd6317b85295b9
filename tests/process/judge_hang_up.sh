#!/usr/bin/env bash
# Guards against two runs at once in songlam-judge's shape: an entry that stands still wakes for an instant after its
# callers have hung up, and is killed; it starts again within the second, and its callers come again elsewhere after
# 1,300 ms. Companions stand still meanwhile, and some upstreams ignore stops or execute orders late. SEED draws other
# moments.
set -u
cd "$(dirname "$0")/../.."
export SEED=${SEED:-1}
. tests/soak/play_scenario.sh

play judge_hang_up || exit 1
awk '$1 == "judge:" { found = $3 + 0 >= 2 && $7 + 0 > 200 } END { exit !found }' "$DIR/out" ||
    { cat "$DIR/out"; echo "too few kills or starts: the machine was too busy for this play"; exit 1; }
