#!/usr/bin/env bash
# Breaks each mechanism in a scratch copy and checks that its proof fails.
# tests/mutations/NAME.patch removes the mechanism; its first lines tell it.
# Usage: scripts/mutations.sh [NAME...]
set -u
cd "$(dirname "$0")/.."
ROOT=$PWD
SCHEDULES=${SCHEDULES:-400}
SCRATCH=$(mktemp -d)
trap 'rm -rf "$SCRATCH"' EXIT
[ $# -gt 0 ] || set -- $(basename -s .patch tests/mutations/*.patch)
caught=0
missed=0

cp -r base core wire platform daemon cli tests CMakeLists.txt "$SCRATCH"
cmake -S "$SCRATCH" -B "$SCRATCH/build" >/dev/null || exit 1
for name; do
    patch=$ROOT/tests/mutations/$name.patch
    if ! patch -s -p1 -d "$SCRATCH" <"$patch"; then
        echo "stale patch $name"
        missed=$((missed + 1))
        continue
    fi
    if ! cmake --build "$SCRATCH/build" --target prop_cluster -j "$(nproc)" >"$SCRATCH/log" 2>&1; then
        echo "$name does not build:"
        tail -n 5 "$SCRATCH/log"
        missed=$((missed + 1))
    elif PUMP_SCHEDULES=$ROOT/tests/schedules.txt RC_PARAMS="seed=20261202 max_success=$SCHEDULES noshrink=1" \
        "$SCRATCH/build/tests/prop_cluster" >"$SCRATCH/log" 2>&1; then
        echo "MISSED $name"
        missed=$((missed + 1))
    else
        echo "caught $name: $(grep -m 1 -E '^(double start|partial|wrong|false not_run|unanswered|work to a leaving|cut off|table|limit)' "$SCRATCH/log")"
        caught=$((caught + 1))
    fi
    patch -s -R -p1 -d "$SCRATCH" <"$patch"
done
echo "$caught caught, $missed missed"
[ "$missed" = 0 ]
