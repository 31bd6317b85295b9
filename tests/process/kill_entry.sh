#!/usr/bin/env bash
# kill -9 of the entry that runs a job; the caller sends the key again.
. "$(dirname "$0")/lib.sh"
TIMES='"suspect_ms": 1000, "evidence_ms": 1000, "ping_entry_ms": 200'
up 3 4
KEY=$(new_key)
JOB=$(job 6 1500)
post 0 "$KEY" "$JOB" >"$DIR/first" 2>&1 &
wait_for 10 owner_of "$KEY" || fail "the job runs nowhere"
OWNER=$(owner_of "$KEY")
kill -KILL "${PIDS[e$OWNER]}"
forget "e$OWNER"
OTHERS=$(for i in 0 1 2; do [ "$i" = "$OWNER" ] || echo "$i"; done)
ANSWER=$(post_until_done "$OTHERS" "$KEY" "$JOB") || fail "no answer: $ANSWER"
is_whole "$ANSWER" 6 || fail "not whole: $ANSWER"
no_double_starts
[ "$(all_starts | wc -l)" = 6 ] || fail "expected 6 starts"
