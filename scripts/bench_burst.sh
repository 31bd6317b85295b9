#!/usr/bin/env bash
# Measures a burst of ten times the usual load, with callers that resubmit
# every 3 s, between two phases of the usual load; 3 entries, 80 slots.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
. scripts/cluster.sh
. scripts/measure.sh
trap 'cluster_stop; rm -rf "$DIR"' EXIT

cluster_start 3 10 || exit 1
for row in "gold weight=2 max_wait_ms=4000" "bronze weight=1 max_wait_ms=4000"; do
    # shellcheck disable=SC2086
    "$BUILD/cli/levercove" -e "127.0.0.1:${ENTRY_HTTP[0]}" table set $row >/dev/null
done
sleep 1.5

# run_phase NAME SECONDS PERCENT
run_phase() {
    local tasks
    counters >"$DIR/before"
    # shellcheck disable=SC2046
    "$BUILD/tests/load" 1 "$2" 80 "$3" gold:50,bronze:50 $(entries_http) >"$DIR/load"
    counters >"$DIR/after"
    delta "$DIR/before" "$DIR/after" >"$DIR/delta"
    tasks=$(awk '/^all/ {for (i = 1; i < NF; i++) if ($i == "tasks") print $(i + 1)}' "$DIR/load")
    echo "== $1: $3% for $2 s"
    cat "$DIR/load"
    waste "$DIR/delta" "$tasks"
    awk '/^jobs_(attached|not_run|done|failed|submitted)/ {printf "%s %d ", $1, $2} END {print ""}' "$DIR/delta"
}
run_phase before 10 50
LOAD_RESEND_MS=3000 run_phase burst 6 500
run_phase after 10 50
echo "tasks started twice: $(all_starts | sort | uniq -d | wc -l)"
