#!/usr/bin/env bash
# Compares the groups' shares of slot time with their weights while every group
# has tasks waiting, the lightest group ten times as many as the others.
# 3 entries, 80 slots.
set -u
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
. scripts/cluster.sh
trap 'cluster_stop; rm -rf "$DIR"' EXIT

# submit_group GROUP TASKS: submits one job at each entry; ignores the answers
submit_group() {
    local port
    jq -cn --arg g "$1" --argjson n "$2" '{group: $g, repeatable: true,
        tasks: [range($n) | {ms: (100 + (. * 37) % 200)} | tojson]}' >"$DIR/$1.json"
    for port in "${ENTRY_HTTP[@]}"; do
        curl -s -X POST "http://127.0.0.1:$port/v1/jobs" --data-binary "@$DIR/$1.json" >/dev/null 2>&1 &
    done
}
# usage: lines "GROUP SLOT_TIME", summed over the upstreams
usage() {
    local i
    for ((i = 0; i < COMPANIONS; i++)); do http GET "${UPSTREAM[$i]}" /usage; done |
        awk '{sum[$1] += $2} END {for (g in sum) print g, sum[g]}' | sort
}

for placement in two_choices grants; do
    PLACEMENT=$placement cluster_start 3 10 || exit 1
    for row in "gold weight=6" "silver weight=3" "bronze weight=1"; do
        # shellcheck disable=SC2086
        "$BUILD/cli/levercove" -e "127.0.0.1:${ENTRY_HTTP[0]}" table set $row >/dev/null
    done
    sleep 1.5
    for ((i = 0; i < 10; i++)); do submit_group bronze 400; done
    sleep 1
    submit_group gold 1500
    submit_group silver 1500
    sleep 0.5
    usage >"$DIR/0"
    for t in 1 2 4; do
        sleep "$((t > 1 ? t / 2 : 1))"
        usage >"$DIR/$t"
        echo "$placement, weights bronze 1 gold 6 silver 3, share after $t s:" \
            "$(join "$DIR/0" "$DIR/$t" | awk '{d[$1] = $3 - $2; all += $3 - $2}
                END {for (g in d) printf "%s %.3f ", g, d[g] / all}')"
    done
    cluster_stop
done
