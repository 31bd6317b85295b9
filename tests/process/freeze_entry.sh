#!/usr/bin/env bash
# SIGSTOP of the entry that runs a job until it has left the view, then
# SIGCONT: it must not start what its successor started.
. "$(dirname "$0")/lib.sh"
TIMES='"suspect_ms": 1000, "evidence_ms": 1000, "ping_entry_ms": 200'
up 3 1
KEY=$(new_key)
JOB=$(job 20 300)
post 0 "$KEY" "$JOB" >"$DIR/first" 2>&1 &
wait_for 10 owner_of "$KEY" || fail "the job runs nowhere"
OWNER=$(owner_of "$KEY")
kill -STOP "${PIDS[e$OWNER]}"
OTHERS=$(for i in 0 1 2; do [ "$i" = "$OWNER" ] || echo "$i"; done)
ANSWER=$(post_until_done "$OTHERS" "$KEY" "$JOB") || fail "no answer: $ANSWER"
kill -CONT "${PIDS[e$OWNER]}"
is_whole "$ANSWER" 20 || fail "not whole: $ANSWER"
wait_for 20 entry_ready "$OWNER" 1 || fail "it did not come back"
no_double_starts
[ "$(all_starts | wc -l)" = 20 ] || fail "expected 20 starts"
