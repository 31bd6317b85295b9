#!/usr/bin/env bash
# Guards against a play that counts as a broken rule, and leaves its processes
# behind, as a process could not be started.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
PORT=$PORT_BASE
trap 'rm -rf "$DIR"' EXIT

cp "$BUILD/daemon/levercoved" "$DIR/levercoved"
"$BUILD/tests/scenario" steady "$DIR/levercoved" "$DIR" "$PORT" >"$DIR/out" 2>&1 &
SCENARIO=$!
sleep 1
PROCESSES=$(cat "/proc/$SCENARIO/task/$SCENARIO/children")
rm "$DIR/levercoved"
[ -n "$PROCESSES" ] || { echo "no process was started"; exit 1; }
kill -9 "${PROCESSES%% *}" # to be started again
wait "$SCENARIO"
code=$?
[ $code = 2 ] || { echo "exit code $code, expected 2: could not run"; cat "$DIR/out"; exit 1; }
grep -q "cannot start .*: no such file" "$DIR/out" || { cat "$DIR/out"; exit 1; }
sleep 0.3
for pid in $PROCESSES; do
    if kill -0 "$pid" 2>/dev/null && grep -q levercoved "/proc/$pid/cmdline"; then
        kill -9 "$pid"
        echo "process $pid was left behind"
        exit 1
    fi
done
