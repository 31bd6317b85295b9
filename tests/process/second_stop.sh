#!/usr/bin/env bash
# A second SIGTERM must end the process at once with exit code 3; the other
# entries must then complete the caller's job.
. "$(dirname "$0")/lib.sh"
start_ready_cluster 3 2
KEY=$(new_key)
post 0 "$KEY" "$(job 2 4000)" >"$DIR/first" 2>&1 &
wait_for 10 owner_of "$KEY" || fail "no entry runs the job"
OWNER=$(owner_of "$KEY")
kill -TERM "${PIDS[e$OWNER]}"
sleep 0.5
kill -TERM "${PIDS[e$OWNER]}"
wait "${PIDS[e$OWNER]}"
CODE=$?
reap "e$OWNER"
[ "$CODE" = 3 ] || fail "exit code $CODE"
HOST_STATE[e$OWNER]=gone
publish_hosts
OTHERS=$(for i in 0 1 2; do [ "$i" = "$OWNER" ] || echo "$i"; done)
ANSWER=$(post_until_done "$OTHERS" "$KEY" "$(job 2 4000)") || fail "no answer: $ANSWER"
is_complete "$ANSWER" 2 || fail "incomplete answer: $ANSWER"
check_starts
