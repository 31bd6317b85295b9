#!/usr/bin/env bash
# Compares the response time of a single job on idle hosts with the ideal: one
# task of 50 ms, and 200 tasks of 100 ms on 80 slots (three rounds, 300 ms).
# Prints the median, least and most as ratios to the ideal, and messages and
# bytes per task.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
. scripts/cluster.sh
. scripts/measure.sh
trap 'cluster_stop; rm -rf "$DIR"' EXIT

cluster_start 3 10 || exit 1
"$BUILD/cli/levercove" -e "127.0.0.1:${ENTRY_HTTP[0]}" table set gold weight=1 >/dev/null
sleep 1.5

# measure_idle NAME TASKS MS IDEAL_MS RUNS
measure_idle() {
    local i
    jq -cn --argjson n "$2" --argjson ms "$3" '{group: "gold", repeatable: true,
        tasks: [range($n) | {ms: $ms} | tojson]}' >"$DIR/job.json"
    counters >"$DIR/before"
    for ((i = 0; i < $5; i++)); do
        curl -s -o /dev/null -w '%{time_total}\n' -X POST \
            "http://127.0.0.1:${ENTRY_HTTP[$((i % 3))]}/v1/jobs" --data-binary "@$DIR/job.json"
    done | sort -n | awk -v ideal="$4" -v name="$1" '{v[NR] = $1 * 1000 / ideal}
        END {printf "%s: time over ideal p50 %.4f, least %.4f, most %.4f (%d runs)\n",
             name, v[int((NR + 1) / 2)], v[1], v[NR], NR}'
    counters >"$DIR/after"
    delta "$DIR/before" "$DIR/after" >"$DIR/delta"
    waste "$DIR/delta" "$(($2 * $5))"
}
measure_idle "1 task of 50 ms" 1 50 50 101
measure_idle "200 tasks of 100 ms on 80 slots" 200 100 300 21
