#!/usr/bin/env bash
# kill -9 of a companion with a started task: the job fails whole, at once
# when the new incarnation shows, and nothing starts twice.
. "$(dirname "$0")/lib.sh"
up 3 1
KEY=$(new_key)
JOB=$(job 4 3000 false)
post 0 "$KEY" "$JOB" >"$DIR/first" &
FIRST=$!
wait_for 10 bash -c "[ \$(curl -sS http://127.0.0.1:${UPSTREAM[0]}/starts | wc -l) = 4 ]" ||
    fail "the tasks did not start"
kill -KILL "${PIDS[c0]}"
forget c0
start_companion 0
wait "$FIRST"
jq -e '.outcome == "failed" and .error == "lost" and (has("results") | not)' \
    "$DIR/first" >/dev/null || fail "answer: $(cat "$DIR/first")"
ANSWER=$(post 1 "$KEY" "$JOB")
[ "$(jq -r .error <<<"$ANSWER")" = lost ] || fail "sent again: $ANSWER"
wait_for 20 entry_ready 0 1 || fail "the new companion is not used"
is_whole "$(post_until_done "0 1 2" "$(new_key)" "$(job 3 10)")" 3 || fail "no work afterwards"
no_double_starts
