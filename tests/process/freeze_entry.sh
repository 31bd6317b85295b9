#!/usr/bin/env bash
# The entry that runs a job is stopped (SIGSTOP) until it is no longer in the
# view, then continued (SIGCONT): it must not start tasks that its successor
# started.
. "$(dirname "$0")/lib.sh"
TIMES='"suspect_ms": 1000, "evidence_ms": 1000, "ping_entry_ms": 200'
start_ready_cluster 3 1
KEY=$(new_key)
JOB=$(job 20 300)
post 0 "$KEY" "$JOB" >"$DIR/first" 2>&1 &
wait_for 10 owner_of "$KEY" || fail "no entry runs the job"
OWNER=$(owner_of "$KEY")
kill -STOP "${PIDS[e$OWNER]}"
OTHERS=$(for i in 0 1 2; do [ "$i" = "$OWNER" ] || echo "$i"; done)
ANSWER=$(post_until_done "$OTHERS" "$KEY" "$JOB") || fail "no answer: $ANSWER"
kill -CONT "${PIDS[e$OWNER]}"
is_complete "$ANSWER" 20 || fail "incomplete answer: $ANSWER"
wait_for 20 entry_ready "$OWNER" 1 || fail "the entry did not become ready again"
check_starts
[ "$(all_starts | wc -l)" = 20 ] || fail "expected 20 starts"
