#!/usr/bin/env bash
# The log is down at work, at a stop and at a start: jobs go on, edits are
# refused as unknown, a new entry joins when the log is back.
. "$(dirname "$0")/lib.sh"
up 3 2
http POST "$PLATFORM" /control --data '{"log": "down"}' >/dev/null
sleep 5 # longer than the evidence of the log holds
is_whole "$(post_until_done "0 1 2" "$(new_key)" "$(job 4 20)")" 4 || fail "no work without the log"
cli table set contest weight=9 2>"$DIR/refused" && fail "an edit was accepted without the log"
grep -q log_unavailable "$DIR/refused" || fail "edit: $(cat "$DIR/refused")"
kill -TERM "${PIDS[e2]}"
wait "${PIDS[e2]}"
CODE=$?
forget e2
[ "$CODE" = 0 ] || fail "exit code $CODE"
start_entry 2
wait_for 10 http GET "${ENTRY_ADMIN[2]}" /state || fail "no start without the log"
wait_for 10 bash -c "curl -sS http://127.0.0.1:${ENTRY_HTTP[2]}/v1/table |
    jq -e '.groups[] | select(.group == \"contest\") | .weight == 2'" ||
    fail "the new entry has no table"
http POST "$PLATFORM" /control --data '{"log": "up"}' >/dev/null
wait_for 20 entry_ready 2 2 || fail "the new entry did not join"
cli table set contest weight=9 >/dev/null || fail "no edit with the log back"
is_whole "$(post_until_done "2 0 1" "$(new_key)" "$(job 4 20)")" 4 || fail "no work afterwards"
no_double_starts
