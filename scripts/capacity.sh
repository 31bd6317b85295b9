#!/usr/bin/env bash
# Measures real processes for docs/CAPACITY.md: CPU time, memory and bytes sent
# of idle processes by the number of companions, and CPU time per task by load.
# Then runs tests/slopes, which measures how the costs of one node grow.
# IDLE: seconds of each idle measurement (10)
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
IDLE=${IDLE:-10}
DIR=$(mktemp -d)
ONE_UPSTREAM=1
. scripts/cluster.sh
. scripts/measure.sh
trap 'cluster_stop; rm -rf "$DIR"' EXIT

bytes_out() { http GET "$1" /metrics | awk '/rpc_bytes_out/ {print $2}'; }

echo "== idle: 2 entries and N companions, figures per process"
for n in 10 20 40 80; do
    SLOTS=8 cluster_start 2 "$n" || { echo "the cluster did not start"; exit 1; }
    sleep 3
    e0=$(cpu_seconds e0) c0=$(cpu_seconds c0)
    eb=$(bytes_out "${ENTRY_ADMIN[0]}") cb=$(bytes_out "${COMPANION_ADMIN[0]}")
    sleep "$IDLE"
    awk -v n="$n" -v t="$IDLE" -v e="$(cpu_seconds e0)" -v e0="$e0" -v c="$(cpu_seconds c0)" \
        -v c0="$c0" -v eb="$(bytes_out "${ENTRY_ADMIN[0]}")" -v eb0="$eb" \
        -v cb="$(bytes_out "${COMPANION_ADMIN[0]}")" -v cb0="$cb" \
        -v er="$(resident_kb e0)" -v cr="$(resident_kb c0)" 'BEGIN {
        printf "companions %d: entry cpu %.2f%% rss %.1f MB sent %.0f B/s; companion cpu %.2f%% rss %.1f MB sent %.0f B/s\n",
            n, 100 * (e - e0) / t, er / 1024, (eb - eb0) / t, 100 * (c - c0) / t, cr / 1024, (cb - cb0) / t}'
    cluster_stop
done

echo "== load: 1 entry, 20 companions of 8 slots, figures per task"
for percent in 20 40 60 80; do
    SLOTS=8 cluster_start 1 20 || { echo "the cluster did not start"; exit 1; }
    "$BUILD/cli/levercove" -e "127.0.0.1:${ENTRY_HTTP[0]}" table set gold weight=1 >/dev/null
    sleep 1
    e0=$(cpu_seconds e0) c0=0
    for ((i = 0; i < 20; i++)); do c0=$(awk -v a="$c0" -v b="$(cpu_seconds "c$i")" 'BEGIN {print a + b}'); done
    # shellcheck disable=SC2046
    "$BUILD/tests/load" 1 10 160 "$percent" gold:100 $(entries_http) >"$DIR/load"
    e1=$(cpu_seconds e0) c1=0
    for ((i = 0; i < 20; i++)); do c1=$(awk -v a="$c1" -v b="$(cpu_seconds "c$i")" 'BEGIN {print a + b}'); done
    tasks=$(awk '/^all/ {for (i = 1; i < NF; i++) if ($i == "tasks") print $(i + 1)}' "$DIR/load")
    awk -v p="$percent" -v n="$tasks" -v e="$e0" -v f="$e1" -v c="$c0" -v d="$c1" 'BEGIN {
        printf "load %d%%: %d tasks, entry %.0f us/task, companions %.0f us/task\n",
            p, n, 1e6 * (f - e) / n, 1e6 * (d - c) / n}'
    cluster_stop
done

echo "== slopes of one node of core/"
"$BUILD/tests/slopes"
