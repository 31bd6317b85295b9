#!/usr/bin/env bash
# Runs many random fault schedules, with several seeds in parallel.
# SCHEDULES: per property (2000); SEEDS ("1 2 3 4 5 6")
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SCHEDULES=${SCHEDULES:-2000}
SEEDS=${SEEDS:-"1 2 3 4 5 6"}
LOGS=$(mktemp -d)
trap 'rm -rf "$LOGS"' EXIT
declare -A RUNS
for seed in $SEEDS; do
    RC_PARAMS="seed=$seed max_success=$SCHEDULES" "$BUILD/tests/prop_cluster" >"$LOGS/$seed" 2>&1 &
    RUNS[$seed]=$!
done
status=0
for seed in $SEEDS; do
    if wait "${RUNS[$seed]}"; then
        echo "seed $seed: $(tail -n 1 "$LOGS/$seed")"
    else
        status=1
        echo "seed $seed FAILED"
        cat "$LOGS/$seed"
    fi
done
exit $status
