#!/usr/bin/env bash
# SIGTERM of an entry under load: every request in progress must get a complete
# answer, and the process must exit by itself.
. "$(dirname "$0")/lib.sh"
start_ready_cluster 3 4
declare -a CALLS=()
for ((i = 0; i < 12; i++)); do
    post 1 "$(new_key)" "$(job 3 400)" >"$DIR/answer.$i" 2>&1 &
    CALLS+=($!)
done
sleep 0.3
kill -TERM "${PIDS[e1]}"
wait "${CALLS[@]}"
for ((i = 0; i < 12; i++)); do
    is_complete "$(cat "$DIR/answer.$i")" 3 || fail "incomplete answer: $(cat "$DIR/answer.$i")"
done
wait "${PIDS[e1]}"
CODE=$?
reap e1
[ "$CODE" = 0 ] || fail "exit code $CODE"
is_complete "$(post_until_done "0 2" "$(new_key)" "$(job 2 10)")" 2 || fail "no complete answer afterwards"
check_starts
