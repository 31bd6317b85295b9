#!/usr/bin/env bash
# Runs days of a site with several seeds on the users' bench and prints one
# line per day: worth by seed, mean and worst, for comparing two versions of
# the code. Every run adds its entry to journal/.
# Usage: FLEETBENCH=PROGRAM scripts/seeds.sh SITE "DAY..." "SEED..." WHY [OPTION...]
# WORKERS: parallel runs (4). OPTION is passed to the bench, such as --no-cpu.
set -eu
[ $# -ge 4 ] || { echo "usage: seeds.sh SITE \"DAY...\" \"SEED...\" WHY [OPTION...]" >&2; exit 2; }
SITE=$1 DAYS=$2 SEEDS=$3 WHY=$4
shift 4
WORKERS=${WORKERS:-4}
SCRATCH=$(mktemp -d)
trap 'rm -rf "$SCRATCH"' EXIT

"$FLEETBENCH" build >"$SCRATCH/build.log" 2>&1 || { cat "$SCRATCH/build.log" >&2; exit 1; }

# run_day DAY SEED OPTION...: writes the report of the day, or prints its error
run_day() {
    local day=$1 seed=$2 name
    name=$(basename "$day" .toml)-$seed
    shift 2
    "$FLEETBENCH" run "$SITE" "$day" --seed "$seed" --why "$WHY" \
        --report "$SCRATCH/$name.json" "$@" >"$SCRATCH/$name.log" 2>&1 ||
        echo "failed: $name: $(tail -n 1 "$SCRATCH/$name.log")" >&2
}

running=0
for day in $DAYS; do
    for seed in $SEEDS; do
        run_day "$day" "$seed" "$@" &
        running=$((running + 1))
        [ "$running" -lt "$WORKERS" ] || { wait -n || true; running=$((running - 1)); }
    done
done
wait

for day in $DAYS; do
    for seed in $SEEDS; do
        report=$SCRATCH/$(basename "$day" .toml)-$seed.json
        [ -e "$report" ] && jq -r '[.G, (.breaks | length)] | @tsv' "$report"
    done | awk -v day="$(basename "$day" .toml)" '
        {text = text sprintf(" %.3f", $1); sum += $1; broken += $2
         if (NR == 1 || $1 < worst) worst = $1}
        END {if (NR == 0) {printf "%-14s no run gave a report\n", day; exit}
             printf "%-14s%s | mean %.3f worst %.3f rules broken %d\n",
             day, text, sum / NR, worst, broken}'
done
