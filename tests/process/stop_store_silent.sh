#!/usr/bin/env bash
# A graceful shutdown must end within the grace time (3 s here) even if the
# store does not answer and durable jobs are open.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${BUILD:-build}
GRACE_MS=3000
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
"$BUILD/tests/scenario" stop_store_silent "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1

# time_of EVENT: time in ms of the first log line with that event
time_of() {
    local line
    line=$(grep -m 1 "\"event\":\"$1\"" "$DIR/entry-0.log") || { echo "no $1" >&2; exit 1; }
    date -d "$(echo "$line" | jq -r .time)" +%s%3N
}
stop_started_ms=$(time_of LC101) || exit 1
stop_ended_ms=$(time_of LC102) || exit 1
[ $((stop_ended_ms - stop_started_ms)) -lt "$GRACE_MS" ] || { echo "took $((stop_ended_ms - stop_started_ms)) ms"; exit 1; }
