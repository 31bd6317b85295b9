#!/usr/bin/env bash
# An upstream that refuses connections costs no job: its tasks go elsewhere.
. "$(dirname "$0")/lib.sh"
up 2 3
kill -KILL "${PIDS[u0]}"
forget u0
for ((i = 0; i < 6; i++)); do
    is_whole "$(post 0 "$(new_key)" "$(job 10 20)")" 10 || fail "a job was not whole"
done
start u0 "$BUILD/tests/standin_upstream" "127.0.0.1:${UPSTREAM[0]}" "$SLOTS"
used() { [ "$(http GET "${UPSTREAM[0]}" /starts | wc -l)" -gt 0 ]; }
again() {
    post 0 "$(new_key)" "$(job 30 20)" >/dev/null
    used
}
wait_for 20 again || fail "the upstream that came back is not used"
no_double_starts
