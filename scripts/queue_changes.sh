#!/usr/bin/env bash
# Plays random changes of the route table under accepted jobs, with entries
# stopped and killed, for each of SEEDS="1 2 3" (COUNT new ones by default);
# WORKERS: parallel plays, 4 at most; PLAY=quiet: the same without changes.
# Keeps the logs of failed seeds and prints their folder (in KEEP).
# Usage: BUILD=build scripts/queue_changes.sh
set -u
cd "$(dirname "$0")/.."
. scripts/ports.sh
BUILD=${BUILD:-build}
PLAY=${PLAY:-random}
WORKERS=${WORKERS:-4}
if [ -z "${SEEDS:-}" ]; then
    base=$(date +%s)
    SEEDS=$(seq "$base" $((base + ${COUNT:-4} - 1)))
fi
KEEP=${KEEP:-$(mktemp -d)}
mkdir -p "$KEEP"

# play_seed SEED WORKER
play_seed() {
    local folder="$KEEP/seed-$1"
    mkdir -p "$folder"
    if timeout 120 "$BUILD/tests/queue_changes" "$PLAY" "$PWD/$BUILD/daemon/levercoved" "$folder" \
        $((PORT_BASE + $2 * 20)) "$1" >"$folder/out" 2>&1; then
        tail -n 1 "$folder/out"
        rm -rf "$folder"
    else
        echo "FAILED seed $1, logs in $folder"
        grep '^violation' "$folder/out" | head -n 20
        tail -n 2 "$folder/out"
    fi
}

number=0
for seed in $SEEDS; do
    play_seed "$seed" $((number % WORKERS)) &
    number=$((number + 1))
    [ $((number % WORKERS)) = 0 ] && wait
done >"$KEEP/summary"
wait
cat "$KEEP/summary"
failed=$(grep -c '^FAILED' "$KEEP/summary")
echo "$((number - failed)) seeds passed, $failed failed"
[ "$failed" = 0 ] && rm -rf "$KEEP"
[ "$failed" = 0 ]
