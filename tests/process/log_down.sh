#!/usr/bin/env bash
# The log is down under load, during the stop and during the start of an entry:
# jobs must still run, edits must fail with log_unavailable, and the new entry
# must join once the log is back.
. "$(dirname "$0")/lib.sh"
start_ready_cluster 3 2
http POST "$PLATFORM" /control --data '{"log": "down"}' >/dev/null
sleep 5 # longer than the evidence of the log is valid
is_complete "$(post_until_done "0 1 2" "$(new_key)" "$(job 4 20)")" 4 || fail "no complete answer without the log"
cli table set contest weight=9 2>"$DIR/refused" && fail "an edit was accepted without the log"
grep -q log_unavailable "$DIR/refused" || fail "edit: $(cat "$DIR/refused")"
kill -TERM "${PIDS[e2]}"
wait "${PIDS[e2]}"
CODE=$?
reap e2
[ "$CODE" = 0 ] || fail "exit code $CODE"
start_entry 2
wait_for 10 http GET "${ENTRY_ADMIN[2]}" /state || fail "the entry did not start without the log"
wait_for 10 bash -c "curl -sS http://127.0.0.1:${ENTRY_HTTP[2]}/v1/table |
    jq -e '.groups[] | select(.group == \"contest\") | .weight == 2'" ||
    fail "the new entry has no table"
http POST "$PLATFORM" /control --data '{"log": "up"}' >/dev/null
wait_for 20 entry_ready 2 2 || fail "the new entry did not join"
cli table set contest weight=9 >/dev/null || fail "no edit was accepted with the log back"
is_complete "$(post_until_done "2 0 1" "$(new_key)" "$(job 4 20)")" 4 || fail "no complete answer afterwards"
check_starts
