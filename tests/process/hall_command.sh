#!/usr/bin/env bash
# Operators close a hall by the command line under load, wait until it is
# empty, and open it again: no job may be lost, and `hall show` must show the
# state.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
PORT=$PORT_BASE
COMPANION=127.7.0.51:$((PORT + 2)) # in hall-0
ALL="127.7.0.10:$((PORT + 2)) 127.7.0.11:$((PORT + 2)) 127.7.0.12:$((PORT + 2)) 127.7.0.50:$((PORT + 2)) $COMPANION"
export LEVERCOVE_STORE=127.7.0.200:$((PORT + 8))

fail() {
    echo "$1"
    kill "$SCENARIO" 2>/dev/null
    wait "$SCENARIO"
    rm -rf "$DIR"
    exit 1
}
hall() { "$BUILD/cli/levercove" hall "$@" >"$DIR/shown" 2>&1; }
# wait_until_shown PATTERN COUNT: waits up to 2 s until `hall show` has COUNT
# lines that match
wait_until_shown() {
    for _ in $(seq 20); do
        hall show $ALL
        [ "$(grep -cE "$1" "$DIR/shown")" = "$2" ] && return
        sleep 0.1
    done
    fail "not shown $2 times: $1: $(cat "$DIR/shown")"
}

"$BUILD/tests/scenario" steady "$PWD/$BUILD/daemon/levercoved" "$DIR" "$PORT" >"$DIR/out" 2>&1 &
SCENARIO=$!
sleep 3.5
wait_until_shown '(entry|companion) .* -$' 5
hall close 'hall 0' && fail "a name with a space was accepted"
hall --by "night shift" close hall-0 || fail "close: $(cat "$DIR/shown")"
wait_until_shown '(entry|companion) .* hall-0$' 5
grep -qE '^hall-0 +20.* night shift ' "$DIR/shown" || fail "show: $(cat "$DIR/shown")"
wait_until_shown "^$COMPANION .* 0 +[1-9][0-9]* hall-0\$" 1
hall open hall-0 || fail "open: $(cat "$DIR/shown")"
wait_until_shown '(entry|companion) .* -$' 5
wait_until_shown "^$COMPANION +companion +hall-0 +[0-9]+ +[0-9]+ +[1-9]" 1
wait "$SCENARIO"
grep '^violation' "$DIR/out" && fail "violations"
awk '$1 == "second" { sent += $4; done += $6 }
     END { if (sent < 200 || done != sent) { print done + 0 " of " sent + 0 " done"; exit 1 } }' "$DIR/out" || fail "$(cat "$DIR/out")"
rm -rf "$DIR"
