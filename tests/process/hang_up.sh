#!/usr/bin/env bash
# A caller hangs up in the middle of its job and sends the key again later;
# a second caller joins meanwhile; a deadline passes.
. "$(dirname "$0")/lib.sh"
up 3 2
KEY=$(new_key)
JOB=$(job 3 1200)
curl -s --max-time 0.4 -X POST "http://127.0.0.1:${ENTRY_HTTP[0]}/v1/jobs" \
    -H "Idempotency-Key: $KEY" --data-binary "$JOB" >"$DIR/cut"
[ -s "$DIR/cut" ] && fail "an answer before the job was over: $(cat "$DIR/cut")"
LOOK=$(http GET "${ENTRY_HTTP[1]}" "/v1/jobs/$KEY")
[ "$(jq -r .outcome <<<"$LOOK")" = running ] || fail "look: $LOOK"
post 1 "$KEY" "$JOB" >"$DIR/second" &
SECOND=$!
ANSWER=$(post 2 "$KEY" "$JOB")
wait "$SECOND"
is_whole "$ANSWER" 3 || fail "sent again: $ANSWER"
is_whole "$(cat "$DIR/second")" 3 || fail "joined: $(cat "$DIR/second")"
is_whole "$(http GET "${ENTRY_HTTP[0]}" "/v1/jobs/$KEY")" 3 || fail "the answer is not kept"
[ "$(all_starts | wc -l)" = 3 ] || fail "expected 3 starts"
ANSWER=$(post 0 "$KEY" "$(job 4 10)")
[ "$(jq -r .error <<<"$ANSWER")" = key_reused ] || fail "another form: $ANSWER"
LATE=$(jq -c '. + {deadline_ms: 300}' <<<"$(job 2 1500)")
ANSWER=$(post 0 "$(new_key)" "$LATE")
[ "$(jq -r .error <<<"$ANSWER")" = deadline_passed ] || fail "deadline: $ANSWER"
ANSWER=$(post 0 "$(new_key)" '{"group": "contest", "repeatable": true,
    "tasks": ["{\"ms\": 5, \"status\": 500}", "{\"ms\": 5}"]}')
[ "$(jq -r .error <<<"$ANSWER")" = upstream_failed ] || fail "failed task: $ANSWER"
jq -e 'has("results") | not' <<<"$ANSWER" >/dev/null || fail "a part of the results: $ANSWER"
