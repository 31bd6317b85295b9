#!/usr/bin/env bash
# SIGHUP must not end a process, not even while it starts.
. "$(dirname "$0")/lib.sh"
start_ready_cluster 1 1
for round in 1 2 3 4 5 6; do
    kill -HUP "${PIDS[e0]}" "${PIDS[c0]}"
    sleep 0.02
done
for name in e0 c0; do
    kill -0 "${PIDS[$name]}" || fail "$name was ended by SIGHUP"
done
[ "$(grep -c LC106 "$DIR/e0.log")" -ge 1 ] || fail "SIGHUP was not logged"
is_complete "$(post 0 "$(new_key)" "$(job 1 10)")" 1 || fail "no service after SIGHUP"
