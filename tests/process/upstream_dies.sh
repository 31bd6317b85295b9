#!/usr/bin/env bash
# An upstream refuses connections: no job may fail, as its tasks start
# elsewhere.
. "$(dirname "$0")/lib.sh"
start_ready_cluster 2 3
kill -KILL "${PIDS[u0]}"
reap u0
for ((i = 0; i < 6; i++)); do
    is_complete "$(post 0 "$(new_key)" "$(job 10 20)")" 10 || fail "incomplete answer"
done
start u0 "$BUILD/tests/standin_upstream" "127.0.0.1:${UPSTREAM[0]}" "$SLOTS"
upstream_used() { [ "$(http GET "${UPSTREAM[0]}" /starts | wc -l)" -gt 0 ]; }
submit_and_check_used() {
    post 0 "$(new_key)" "$(job 30 20)" >/dev/null
    upstream_used
}
wait_for 20 submit_and_check_used || fail "the restarted upstream is not used"
check_starts
