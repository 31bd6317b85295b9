#!/usr/bin/env bash
# Guards against a durable job at work that an entry other than its owner shows
# as pending, before and after changes of its owner.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
PORT=$PORT_BASE
ENTRIES="0 1 2 3 4"
CHANGES=5

admin() { echo "127.7.0.$((10 + $1)):$((PORT + 2))"; }

finish() {
    kill "$SCENARIO" 2>/dev/null
    wait "$SCENARIO"
    rm -rf "$DIR"
}
trap finish EXIT

fail() {
    echo "$1"
    cat "$DIR/out" "$DIR/owners"
    exit 1
}

# read_owners: sets OWNER to the one address of the owner that all entries that
# answer name, or to "" if they do not agree
read_owners() {
    local i admins=""
    for i in $ENTRIES; do admins="$admins $(admin "$i")"; done
    "$BUILD/cli/levercove" owners $admins >"$DIR/owners"
    OWNER=$(awk 'NF == 8 { print $3 }' "$DIR/owners" | grep : | sort -u)
    JOB=$(awk 'NF == 8 { print $2 }' "$DIR/owners" | tail -n 1)
    [ "$(wc -l <<<"$OWNER")" = 1 ] || OWNER=""
}

# wait_for_owner NOT_THIS_ONE: waits until an entry runs the job as its owner
wait_for_owner() {
    for _ in $(seq 60); do
        read_owners
        if [ -n "$OWNER" ] && [ "$OWNER" != "$1" ] && grep -q "^${OWNER%:*}:.* yes " "$DIR/owners"; then return; fi
        sleep 0.1
    done
    fail "no new owner runs the job"
}

# pid_of ENTRY: its process, a child of the scenario
pid_of() {
    local pid
    for pid in $(cat "/proc/$SCENARIO/task/$SCENARIO/children"); do
        if tr '\0' ' ' <"/proc/$pid/cmdline" | grep -q "$DIR/entry-$1.json"; then echo "$pid"; fi
    done
}

# check_shown CHANGES: every entry that answers shows the job as running
check_shown() {
    local i shown answers=0
    for i in $ENTRIES; do
        shown=$(curl -s -m 1 "http://127.7.0.$((10 + i)):$((PORT + 3))/q/$JOB") || continue
        answers=$((answers + 1))
        grep -q '"running"' <<<"$shown" || fail "entry $i, after $1 changes of the owner: $shown"
    done
    [ "$answers" -ge 3 ] || fail "$answers entries have answered"
}

"$BUILD/tests/scenario" kept_shown "$PWD/$BUILD/daemon/levercoved" "$DIR" "$PORT" >"$DIR/out" 2>&1 &
SCENARIO=$!
sleep 2.5
wait_for_owner ""
sleep 1
check_shown 0
for change in $(seq $CHANGES); do
    stopped=$OWNER
    number=${stopped%:*}
    pid=$(pid_of $((${number##*.} - 10)))
    [ -n "$pid" ] || fail "the owner $stopped does not run"
    kill -TERM "$pid"
    wait_for_owner "$stopped"
    check_shown "$change"
done
exit 0
