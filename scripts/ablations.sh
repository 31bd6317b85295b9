#!/usr/bin/env bash
# Ablation study: removes one mechanism at a time, each in a scratch copy, and
# runs days of a site with several seeds on the users' bench
# (scripts/seeds.sh).
# tests/ablations/NAME.patch removes a mechanism; its first line describes it.
# Usage: FLEETBENCH=PROGRAM scripts/ablations.sh FOLDER SITE "DAY..." "SEED..." [NAME...]
# FOLDER holds the copies with their journals. WORKERS: parallel copies (4)
set -eu
[ $# -ge 4 ] || { echo "usage: ablations.sh FOLDER SITE \"DAY...\" \"SEED...\" [NAME...]" >&2; exit 2; }
cd "$(dirname "$0")/.."
ROOT=$PWD
FOLDER=$1 SITE=$2 DAYS=$3 SEEDS=$4
shift 4
WORKERS=${WORKERS:-4}
[ $# -gt 0 ] || set -- none $(basename -s .patch tests/ablations/*.patch)
mkdir -p "$FOLDER"

# run_ablation NAME: prints one line per day
run_ablation() {
    local name=$1 copy=$FOLDER/$1
    [ -d "$copy" ] || git clone -q "$ROOT" "$copy"
    cd "$copy"
    if [ "$name" != none ]; then
        git apply "$ROOT/tests/ablations/$name.patch" 2>/dev/null ||
            git apply -R --check "$ROOT/tests/ablations/$name.patch" ||
            { echo "$name: the patch does not apply"; return; }
    fi
    WORKERS=1 scripts/seeds.sh "$SITE" "$DAYS" "$SEEDS" "ablation: $name" --no-cpu 2>&1 |
        sed "s/^/$name: /"
}

running=0
for name in "$@"; do
    run_ablation "$name" &
    running=$((running + 1))
    [ "$running" -lt "$WORKERS" ] || { wait -n || true; running=$((running - 1)); }
done
wait
