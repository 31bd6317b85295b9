#!/usr/bin/env bash
# The entry that runs a job is killed (SIGKILL), and the caller resubmits the
# key at the other entries: it must get a complete answer without double
# starts.
. "$(dirname "$0")/lib.sh"
TIMES='"suspect_ms": 1000, "evidence_ms": 1000, "ping_entry_ms": 200'
start_ready_cluster 3 4
KEY=$(new_key)
JOB=$(job 6 1500)
post 0 "$KEY" "$JOB" >"$DIR/first" 2>&1 &
wait_for 10 owner_of "$KEY" || fail "no entry runs the job"
OWNER=$(owner_of "$KEY")
kill -KILL "${PIDS[e$OWNER]}"
reap "e$OWNER"
OTHERS=$(for i in 0 1 2; do [ "$i" = "$OWNER" ] || echo "$i"; done)
ANSWER=$(post_until_done "$OTHERS" "$KEY" "$JOB") || fail "no answer: $ANSWER"
is_complete "$ANSWER" 6 || fail "incomplete answer: $ANSWER"
check_starts
[ "$(all_starts | wc -l)" = 6 ] || fail "expected 6 starts"
