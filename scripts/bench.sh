#!/usr/bin/env bash
# Compares the baseline policies and the chosen one on response time over ideal
# and on wasted messages: 3 entries, 10 companions with 8 slots each. Figures
# are ratios.
# SECONDS_EACH (20), UTILISATION in percent ("50 90 130"), SEED (1),
# ONLY (names of policies; all)
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
SECONDS_EACH=${SECONDS_EACH:-20}
UTILISATION=${UTILISATION:-"50 90 130"}
SEED=${SEED:-1}
DIR=$(mktemp -d)
. scripts/cluster.sh
. scripts/measure.sh
trap 'cluster_stop; rm -rf "$DIR"' EXIT

# run_policy NAME PLACEMENT ORDER PERCENT
run_policy() {
    local tasks
    PLACEMENT=$2 ORDER=$3 cluster_start 3 10 || { echo "the cluster did not start"; exit 1; }
    for row in "gold weight=6" "silver weight=3" "bronze weight=1"; do
        # shellcheck disable=SC2086
        "$BUILD/cli/levercove" -e "127.0.0.1:${ENTRY_HTTP[0]}" table set $row >/dev/null
    done
    sleep 1.5
    counters >"$DIR/before"
    # shellcheck disable=SC2046
    "$BUILD/tests/load" "$SEED" "$SECONDS_EACH" 80 "$4" gold:34,silver:33,bronze:33 $(entries_http) >"$DIR/load"
    counters >"$DIR/after"
    delta "$DIR/before" "$DIR/after" >"$DIR/delta"
    tasks=$(awk '/^all/ {for (i = 1; i < NF; i++) if ($i == "tasks") print $(i + 1)}' "$DIR/load")
    echo "== $1: placement $2, order $3, load $4% of slots"
    cat "$DIR/load"
    waste "$DIR/delta" "$tasks"
    cluster_stop
}

for percent in $UTILISATION; do
    while read -r name placement order; do
        [ -z "${ONLY:-}" ] || [[ " $ONLY " = *" $name "* ]] || continue
        run_policy "$name" "$placement" "$order" "$percent"
    done <<EOF
baseline random fifo
two-choices two_choices fifo
two-choices-ratio two_choices response_ratio
grants-fifo grants fifo
grants-shortest grants fewest_remaining
chosen grants response_ratio
EOF
done
