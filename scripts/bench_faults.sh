#!/usr/bin/env bash
# Measures half load with one of ten upstreams faulty (hung, or killed every
# 3 s), and without a fault for comparison. 3 entries, 80 slots; tasks may take
# 5 s.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
TIMES='"task_timeout_ms": 6000'
. scripts/cluster.sh
. scripts/measure.sh
trap 'cluster_stop; rm -rf "$DIR"' EXIT

start_upstream() {
    start u0 "$BUILD/tests/standin_upstream" "127.0.0.1:${UPSTREAM[0]}" "$SLOTS"
}

# measure NAME: a run under load, during which the function NAME injects faults
measure() {
    local tasks
    cluster_start 3 10 || exit 1
    "$BUILD/cli/levercove" -e "127.0.0.1:${ENTRY_HTTP[0]}" table set gold weight=1 >/dev/null
    sleep 1.5
    counters >"$DIR/before"
    # shellcheck disable=SC2046
    "$BUILD/tests/load" 1 12 80 50 gold:100 $(entries_http) >"$DIR/load" &
    local load=$!
    "$1"
    wait "$load"
    counters >"$DIR/after"
    delta "$DIR/before" "$DIR/after" >"$DIR/delta"
    tasks=$(awk '/^all/ {for (i = 1; i < NF; i++) if ($i == "tasks") print $(i + 1)}' "$DIR/load")
    echo "== $1"
    cat "$DIR/load"
    waste "$DIR/delta" "$tasks"
    cluster_stop
}

none() { :; }
hung() {
    sleep 1
    kill -STOP "${PIDS[u0]}"
}
dying() {
    local i
    for ((i = 0; i < 3; i++)); do
        sleep 2
        kill -KILL "${PIDS[u0]}"
        reap u0
        sleep 1
        start_upstream
    done
}
measure none
measure hung
measure dying
