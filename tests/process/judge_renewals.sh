#!/usr/bin/env bash
# Guards against two runs at once in songlam-judge's shape: companions stand still as an entry is killed, with renewals
# of its leases in their input, and stand still again when leases counted from then would end. It catches renewals whose
# lease is counted from when the companion reads them. SEED draws other moments.
set -u
cd "$(dirname "$0")/../.."
export SEED=${SEED:-90}
. tests/soak/play_scenario.sh

play judge_renewals || exit 1
awk '$1 == "judge:" { found = $3 + 0 >= 2 && $7 + 0 > 200 } END { exit !found }' "$DIR/out" ||
    { cat "$DIR/out"; echo "too few kills or starts: the machine was too busy for this play"; exit 1; }
