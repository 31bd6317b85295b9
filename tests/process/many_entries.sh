#!/usr/bin/env bash
# 46 entries and 12 companions: each companion must report to 40 entries, and
# to all as soon as durable jobs are open. All durable jobs must be done, and
# 98% of the others.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
# Some 60 processes: too many for the sanitized build.
BUILD=${PLAIN_BUILD:-build}
ENTRIES=46
COMPANIONS=12
MAX_ENTRIES=40
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

# read_open: for each entry, its number of schedulable companions, or "none" if
# it does not answer. All entries are read at nearly one moment, by a single
# process, as the reports change meanwhile.
read_open() {
    jq -r '"http://\(.admin)/metrics"' "$DIR"/entry-*.json |
        xargs curl -s -m 5 -w '\nread %{http_code}\n' |
        awk '$1 == "levercove_companions_open" { open = $2 }
            $1 == "read" { print $2 == 200 ? open + 0 : "none"; open = 0 }'
}

# total_open: number of schedulable companions at all entries together, or
# "none" if an entry does not answer
total_open() {
    read_open | awk -v entries=$ENTRIES '{ sum += $1 } $1 == "none" { silent = 1 }
        END { print NR != entries || silent ? "none" : sum }'
}

# wait_limited_reports SECONDS: waits until all entries together have 40 times
# the companions schedulable, or one less per companion, three times in a row:
# once could be in passing
wait_limited_reports() {
    local until=$(($(date +%s) + $1)) sum=none kept=0
    while [ "$(date +%s)" -lt "$until" ]; do
        sum=$(total_open)
        if [ "$sum" != none ] && [ "$sum" -ge $((COMPANIONS * (MAX_ENTRIES - 1))) ] &&
            [ "$sum" -le $((COMPANIONS * MAX_ENTRIES)) ]; then
            kept=$((kept + 1))
        else
            kept=0
        fi
        [ "$kept" = 3 ] && return 0
        sleep 0.5
    done
    echo "entries have $sum schedulable companions together, expected $COMPANIONS times $MAX_ENTRIES"
    return 1
}

# wait_all_reports SECONDS: waits until each entry has had every companion
# schedulable
wait_all_reports() {
    local until=$(($(date +%s) + $1)) left=$ENTRIES had=() open i
    while [ "$(date +%s)" -lt "$until" ] && [ "$left" -gt 0 ]; do
        mapfile -t open < <(read_open)
        left=$ENTRIES
        for ((i = 0; i < ENTRIES; i++)); do
            [ "${open[i]-}" = "$COMPANIONS" ] && had[i]=1
            left=$((left - ${had[i]-0}))
        done
    done
    [ "$left" = 0 ] || { echo "$left entries never had all companions schedulable"; return 1; }
}

"$BUILD/tests/scenario" many_entries "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1 &
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
