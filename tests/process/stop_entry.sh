#!/usr/bin/env bash
# SIGTERM of an entry under load: every request in progress gets its whole
# answer, and the process ends by itself.
. "$(dirname "$0")/lib.sh"
up 3 4
declare -a CALLS=()
for ((i = 0; i < 12; i++)); do
    post 1 "$(new_key)" "$(job 3 400)" >"$DIR/answer.$i" 2>&1 &
    CALLS+=($!)
done
sleep 0.3
kill -TERM "${PIDS[e1]}"
wait "${CALLS[@]}"
for ((i = 0; i < 12; i++)); do
    is_whole "$(cat "$DIR/answer.$i")" 3 || fail "cut off: $(cat "$DIR/answer.$i")"
done
wait "${PIDS[e1]}"
CODE=$?
forget e1
[ "$CODE" = 0 ] || fail "exit code $CODE"
is_whole "$(post_until_done "0 2" "$(new_key)" "$(job 2 10)")" 2 || fail "no work afterwards"
no_double_starts
