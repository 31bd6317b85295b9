#!/usr/bin/env bash
# SIGTERM of a companion under load: its tasks must run to their end, and new
# ones must start elsewhere.
. "$(dirname "$0")/lib.sh"
start_ready_cluster 2 2
post 0 "$(new_key)" "$(job 40 200)" >"$DIR/answer" &
CALL=$!
wait_for 10 bash -c "[ \$(curl -sS http://127.0.0.1:${UPSTREAM[0]}/starts | wc -l) -ge 4 ]" ||
    fail "the tasks did not start"
kill -TERM "${PIDS[c0]}"
wait "${PIDS[c0]}"
CODE=$?
reap c0
AT_END=$(http GET "${UPSTREAM[0]}" /starts | wc -l)
wait "$CALL"
is_complete "$(cat "$DIR/answer")" 40 || fail "incomplete answer: $(cat "$DIR/answer")"
[ "$CODE" = 0 ] || fail "exit code $CODE"
[ "$(http GET "${UPSTREAM[0]}" /starts | wc -l)" = "$AT_END" ] || fail "a task started after the stop"
check_starts
