#!/usr/bin/env bash
# Operators edit one row through different entries at once: exactly one edit
# must win. Then the log loses the confirmation of an edit: the edit must be in
# force at all processes and must have been sent once.
. "$(dirname "$0")/lib.sh"
start_ready_cluster 3 2
VERSION=$(http GET "${ENTRY_HTTP[0]}" /v1/table/groups/contest | jq .version)
for i in 0 1 2; do
    http PUT "${ENTRY_HTTP[$i]}" /v1/table/groups/contest -H "If-Match: \"$VERSION\"" \
        --data "{\"weight\": $((10 + i))}" >"$DIR/edit.$i" &
    CALLS[$i]=$!
done
wait "${CALLS[@]}"
[ "$(jq -r 'select(.outcome == "accepted") | .outcome' "$DIR"/edit.? | wc -l)" = 1 ] ||
    fail "expected exactly one accepted edit: $(cat "$DIR"/edit.?)"
[ "$(jq -r 'select(.error == "stale_row") | .error' "$DIR"/edit.? | wc -l)" = 2 ] ||
    fail "the others were not refused: $(cat "$DIR"/edit.?)"
http POST "$PLATFORM" /control --data '{"lose_confirmations": 1}' >/dev/null
cli table set contest weight=77 >/dev/null || fail "an edit with a lost confirmation failed"
in_force() {
    local port
    for port in "${ENTRY_ADMIN[@]}" "${COMPANION_ADMIN[@]}"; do
        http GET "$port" /state | jq -e '.table[] |
            select(.group == "contest") | .weight == 77' >/dev/null || return 1
    done
}
wait_for 10 in_force || fail "not in force everywhere"
[ "$(http GET "$PLATFORM" '/log?from=1' | jq -r '.records[].data' |
    jq -c 'select(.kind == "edit" and .row.weight == 77)' | wc -l)" = 1 ] ||
    fail "the edit was sent twice"
