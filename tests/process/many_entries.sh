#!/usr/bin/env bash
# 46 entries and 12 companions: each companion reports to 40 entries, all jobs
# are done, and as soon as kept jobs are open every entry hears every companion.
set -u
cd "$(dirname "$0")/../.."
# Some sixty processes: without the sanitizers.
BUILD=${PLAIN_BUILD:-build}
COMPANIONS=12
MOST=40
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

# open_at FILE: companions that are open at the entry of those settings
open_at() {
    curl -s "http://$(jq -r .admin "$1")/metrics" |
        awk '$1 == "levercove_companions_open" { open = $2 } END { print open + 0 }'
}

# few_heard SECONDS: waits until all entries together hear 40 times the
# companions, or one less of each
few_heard() {
    local until=$(($(date +%s) + $1)) sum=0 file
    while [ "$(date +%s)" -lt "$until" ]; do
        sum=0
        for file in "$DIR"/entry-*.json; do
            sum=$((sum + $(open_at "$file")))
        done
        [ "$sum" -ge $((COMPANIONS * (MOST - 1))) ] && [ "$sum" -le $((COMPANIONS * MOST)) ] && return 0
    done
    echo "entries hear $sum companions together, expected $COMPANIONS times $MOST"
    return 1
}

# all_heard SECONDS: waits until each entry has heard every companion
all_heard() {
    local until=$(($(date +%s) + $1)) file left=("$DIR"/entry-*.json) still
    while [ "$(date +%s)" -lt "$until" ] && [ "${#left[@]}" -gt 0 ]; do
        still=()
        for file in "${left[@]}"; do
            [ "$(open_at "$file")" = "$COMPANIONS" ] || still+=("$file")
        done
        left=("${still[@]}")
    done
    [ "${#left[@]}" = 0 ] || { echo "${#left[@]} entries never heard all companions"; return 1; }
}

"$BUILD/tests/scenario" many_entries "$PWD/$BUILD/daemon/levercoved" "$DIR" $((20000 + $$ % 100 * 100)) >"$DIR/out" 2>&1 &
SCENARIO=$!
sleep 4
status=0
few_heard 6 && all_heard 12 || status=1
wait "$SCENARIO"
[ "$status" = 0 ] || exit 1
if grep '^violation' "$DIR/out"; then exit 1; fi
grep -q '^kept 12 of 12$' "$DIR/out" || { cat "$DIR/out"; exit 1; }
awk '$1 == "second" { sent += $4; done += $6 }
    END { if (sent < 200 || done < 0.98 * sent) { print done " of " sent " done"; exit 1 } }' "$DIR/out" || { cat "$DIR/out"; exit 1; }
