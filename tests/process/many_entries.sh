#!/usr/bin/env bash
# 46 entries and 12 companions: each companion must report to 40 entries, and
# to all as soon as durable jobs are open. All durable jobs must be done, and
# 98% of the others.
set -u
cd "$(dirname "$0")/../.."
# Some 60 processes: too many for the sanitized build.
BUILD=${PLAIN_BUILD:-build}
COMPANIONS=12
MAX_ENTRIES=40
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

# open_at FILE: number of schedulable companions at the entry with these
# settings
open_at() {
    curl -s "http://$(jq -r .admin "$1")/metrics" |
        awk '$1 == "levercove_companions_open" { open = $2 } END { print open + 0 }'
}

# wait_limited_reports SECONDS: waits until all entries together have 40 times
# the companions schedulable, or one less per companion
wait_limited_reports() {
    local until=$(($(date +%s) + $1)) sum=0 file
    while [ "$(date +%s)" -lt "$until" ]; do
        sum=0
        for file in "$DIR"/entry-*.json; do
            sum=$((sum + $(open_at "$file")))
        done
        [ "$sum" -ge $((COMPANIONS * (MAX_ENTRIES - 1))) ] && [ "$sum" -le $((COMPANIONS * MAX_ENTRIES)) ] && return 0
    done
    echo "entries have $sum schedulable companions together, expected $COMPANIONS times $MAX_ENTRIES"
    return 1
}

# wait_all_reports SECONDS: waits until each entry has had every companion
# schedulable
wait_all_reports() {
    local until=$(($(date +%s) + $1)) file left=("$DIR"/entry-*.json) still
    while [ "$(date +%s)" -lt "$until" ] && [ "${#left[@]}" -gt 0 ]; do
        still=()
        for file in "${left[@]}"; do
            [ "$(open_at "$file")" = "$COMPANIONS" ] || still+=("$file")
        done
        left=("${still[@]}")
    done
    [ "${#left[@]}" = 0 ] || { echo "${#left[@]} entries never had all companions schedulable"; return 1; }
}

"$BUILD/tests/scenario" many_entries "$PWD/$BUILD/daemon/levercoved" "$DIR" $((20000 + $$ % 100 * 100)) >"$DIR/out" 2>&1 &
SCENARIO=$!
sleep 4
status=0
wait_limited_reports 6 && wait_all_reports 12 || status=1
wait "$SCENARIO"
[ "$status" = 0 ] || exit 1
if grep '^violation' "$DIR/out"; then exit 1; fi
grep -q '^kept 12 of 12$' "$DIR/out" || { cat "$DIR/out"; exit 1; }
awk '$1 == "second" { sent += $4; done += $6 }
    END { if (sent < 200 || done < 0.98 * sent) { print done " of " sent " done"; exit 1 } }' "$DIR/out" || { cat "$DIR/out"; exit 1; }
