#!/usr/bin/env bash
# Corrupt records in the log must be skipped, and later records applied.
. "$(dirname "$0")/lib.sh"
start_ready_cluster 2 1
for RECORD in 'not JSON' '{"kind":"edit"}' '{"kind":"view","prev":0}' '[]' '{"kind":7}' \
    '{"kind":"snapshot","as_of":1}'; do
    http POST "$PLATFORM" /log --data-binary "$RECORD" >/dev/null
done
cli table set contest weight=5 >/dev/null || fail "no edit was accepted after the corrupt records"
is_complete "$(post 1 "$(new_key)" "$(job 3 10)")" 3 || fail "no complete answer afterwards"
SKIPPED=$(http GET "${ENTRY_ADMIN[0]}" /metrics | awk '/records_skipped/ {print $2}')
[ "$SKIPPED" = 5 ] || fail "skipped $SKIPPED records, expected 5"
