#!/usr/bin/env bash
# A caller disconnects during its job and later resubmits the key, which a
# second caller has submitted in the meantime: all must get the one result.
# Also checks a reused key, an expired deadline and a failed task.
. "$(dirname "$0")/lib.sh"
start_ready_cluster 3 2
KEY=$(new_key)
JOB=$(job 3 1200)
curl -s --max-time 0.4 -X POST "http://127.0.0.1:${ENTRY_HTTP[0]}/v1/jobs" \
    -H "Idempotency-Key: $KEY" --data-binary "$JOB" >"$DIR/cut"
[ -s "$DIR/cut" ] && fail "an answer before the job had ended: $(cat "$DIR/cut")"
STATE=$(http GET "${ENTRY_HTTP[1]}" "/v1/jobs/$KEY")
[ "$(jq -r .outcome <<<"$STATE")" = running ] || fail "state query: $STATE"
post 1 "$KEY" "$JOB" >"$DIR/second" &
SECOND=$!
ANSWER=$(post 2 "$KEY" "$JOB")
wait "$SECOND"
is_complete "$ANSWER" 3 || fail "resubmitted: $ANSWER"
is_complete "$(cat "$DIR/second")" 3 || fail "joined: $(cat "$DIR/second")"
is_complete "$(http GET "${ENTRY_HTTP[0]}" "/v1/jobs/$KEY")" 3 || fail "the answer was not stored"
[ "$(all_starts | wc -l)" = 3 ] || fail "expected 3 starts"
ANSWER=$(post 0 "$KEY" "$(job 4 10)")
[ "$(jq -r .error <<<"$ANSWER")" = key_reused ] || fail "the key with another job: $ANSWER"
EXPIRING=$(jq -c '. + {deadline_ms: 300}' <<<"$(job 2 1500)")
ANSWER=$(post 0 "$(new_key)" "$EXPIRING")
[ "$(jq -r .error <<<"$ANSWER")" = deadline_passed ] || fail "deadline: $ANSWER"
ANSWER=$(post 0 "$(new_key)" '{"group": "contest", "repeatable": true,
    "tasks": ["{\"ms\": 5, \"status\": 500}", "{\"ms\": 5}"]}')
[ "$(jq -r .error <<<"$ANSWER")" = upstream_failed ] || fail "failed task: $ANSWER"
jq -e 'has("results") | not' <<<"$ANSWER" >/dev/null || fail "partial results of a failed job: $ANSWER"
