#!/usr/bin/env bash
# Runs the soak with SEEDS="1 2 3" (COUNT new ones by default) and SECONDS_EACH
# with faults; LINK: bandwidth of the first entry in Mbit/s, which then
# forwards jobs; FILES: files that each process may open; REMOVE_QUEUE=1: the
# queue of the durable jobs is removed and put back, again and again; WORKERS:
# parallel runs. Keeps the logs of failed seeds and prints their folder (in
# KEEP).
# Usage: BUILD=build scripts/soak.sh
set -u
cd "$(dirname "$0")/.."
. scripts/ports.sh
BUILD=${BUILD:-build}
SECONDS_EACH=${SECONDS_EACH:-12}
WORKERS=${WORKERS:-4}
if [ -z "${SEEDS:-}" ]; then
    base=$(date +%s)
    SEEDS=$(seq "$base" $((base + ${COUNT:-8} - 1)))
fi
KEEP=${KEEP:-$(mktemp -d)}
mkdir -p "$KEEP"

# print_first_job FOLDER: the log lines on the job of the first violation
print_first_job() {
    local number
    number=$(sed -n 's/^ *at [0-9]* ms: .*[ :]\([0-9][0-9]*\)\.[0-9]* run .*/\1/p' "$1/out" | head -n 1)
    [ -n "$number" ] || return 0
    grep -h "\"$(printf '%016x' "$number")" "$1"/*.log | sort | cut -c 1-400 | head -n 16
}

# run_seed SEED WORKER
run_seed() {
    local folder="$KEEP/seed-$1"
    mkdir -p "$folder"
    if timeout $((SECONDS_EACH + 60)) "$BUILD/tests/soak" --seed "$1" --seconds "$SECONDS_EACH" \
        ${LINK:+--link "$LINK"} ${REMOVE_QUEUE:+--remove-queue} ${FILES:+--files "$FILES"} --program "$BUILD/daemon/levercoved" --folder "$folder" \
        --port $((PORT_BASE + $2 * 20)) --verbose >"$folder/out" 2>&1; then
        grep '^seed' "$folder/out"
        rm -rf "$folder"
    else
        echo "FAILED seed $1, logs in $folder"
        grep '^ *[0-9][0-9]* [a-z]' "$folder/out" | paste -s -d ';'
        print_first_job "$folder"
        grep -A 20 '^seed' "$folder/out" || tail -n 5 "$folder/out"
    fi
}

number=0
for seed in $SEEDS; do
    run_seed "$seed" $((number % WORKERS)) &
    number=$((number + 1))
    [ $((number % WORKERS)) = 0 ] && wait
done >"$KEEP/summary"
wait
cat "$KEEP/summary"
failed=$(grep -c '^FAILED' "$KEEP/summary")
echo "$((number - failed)) seeds passed, $failed failed"
[ "$failed" = 0 ] && rm -rf "$KEEP"
[ "$failed" = 0 ]
