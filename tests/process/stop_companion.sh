#!/usr/bin/env bash
# SIGTERM of a companion under load: its tasks end, new ones go elsewhere.
. "$(dirname "$0")/lib.sh"
up 2 2
post 0 "$(new_key)" "$(job 40 200)" >"$DIR/answer" &
CALL=$!
wait_for 10 bash -c "[ \$(curl -sS http://127.0.0.1:${UPSTREAM[0]}/starts | wc -l) -ge 4 ]" ||
    fail "the tasks did not start"
kill -TERM "${PIDS[c0]}"
wait "${PIDS[c0]}"
CODE=$?
forget c0
AT_END=$(http GET "${UPSTREAM[0]}" /starts | wc -l)
wait "$CALL"
is_whole "$(cat "$DIR/answer")" 40 || fail "cut off: $(cat "$DIR/answer")"
[ "$CODE" = 0 ] || fail "exit code $CODE"
[ "$(http GET "${UPSTREAM[0]}" /starts | wc -l)" = "$AT_END" ] || fail "work after the stop"
no_double_starts
