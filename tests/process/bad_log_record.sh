#!/usr/bin/env bash
# Corrupt records in the log are skipped by all, and what follows is applied.
. "$(dirname "$0")/lib.sh"
up 2 1
for RECORD in 'not JSON' '{"kind":"edit"}' '{"kind":"view","prev":0}' '[]' '{"kind":7}' \
    '{"kind":"snapshot","as_of":1}'; do
    http POST "$PLATFORM" /log --data-binary "$RECORD" >/dev/null
done
cli table set contest weight=5 >/dev/null || fail "no edit after the corrupt records"
is_whole "$(post 1 "$(new_key)" "$(job 3 10)")" 3 || fail "no work afterwards"
SKIPPED=$(http GET "${ENTRY_ADMIN[0]}" /metrics | awk '/records_skipped/ {print $2}')
[ "$SKIPPED" = 5 ] || fail "skipped $SKIPPED, expected 5"
