#!/usr/bin/env bash
# A companion is killed (SIGKILL) while it runs a job that is not repeatable:
# the whole job must fail as soon as the companion's new incarnation is known,
# and no task may start twice.
. "$(dirname "$0")/lib.sh"
start_ready_cluster 3 1
KEY=$(new_key)
JOB=$(job 4 3000 false)
post 0 "$KEY" "$JOB" >"$DIR/first" &
FIRST=$!
wait_for 10 bash -c "[ \$(curl -sS http://127.0.0.1:${UPSTREAM[0]}/starts | wc -l) = 4 ]" ||
    fail "the tasks did not start"
kill -KILL "${PIDS[c0]}"
reap c0
start_companion 0
wait "$FIRST"
jq -e '.outcome == "failed" and .error == "lost" and (has("results") | not)' \
    "$DIR/first" >/dev/null || fail "answer: $(cat "$DIR/first")"
ANSWER=$(post 1 "$KEY" "$JOB")
[ "$(jq -r .error <<<"$ANSWER")" = lost ] || fail "resubmitted: $ANSWER"
wait_for 20 entry_ready 0 1 || fail "the new companion is not used"
is_complete "$(post_until_done "0 1 2" "$(new_key)" "$(job 3 10)")" 3 || fail "no complete answer afterwards"
check_starts
