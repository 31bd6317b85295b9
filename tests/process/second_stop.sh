#!/usr/bin/env bash
# A second SIGTERM ends the process at once with its own exit code; the
# caller's job is known to the others.
. "$(dirname "$0")/lib.sh"
up 3 2
KEY=$(new_key)
post 0 "$KEY" "$(job 2 4000)" >"$DIR/first" 2>&1 &
wait_for 10 owner_of "$KEY" || fail "the job runs nowhere"
OWNER=$(owner_of "$KEY")
kill -TERM "${PIDS[e$OWNER]}"
sleep 0.5
kill -TERM "${PIDS[e$OWNER]}"
wait "${PIDS[e$OWNER]}"
CODE=$?
forget "e$OWNER"
[ "$CODE" = 3 ] || fail "exit code $CODE"
HOST_STATE[e$OWNER]=gone
publish_hosts
OTHERS=$(for i in 0 1 2; do [ "$i" = "$OWNER" ] || echo "$i"; done)
ANSWER=$(post_until_done "$OTHERS" "$KEY" "$(job 2 4000)") || fail "no answer: $ANSWER"
is_whole "$ANSWER" 2 || fail "not whole: $ANSWER"
no_double_starts
