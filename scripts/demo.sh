#!/usr/bin/env bash
# Starts stand-ins, 3 entries and 10 companions in 3 halls, submits a job of
# several tasks, shows the results and stops everything it started.
set -u
cd "$(dirname "$0")/.."
. scripts/ports.sh
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
. scripts/cluster.sh

fail() {
    echo "demo: $*" >&2
    tail -n 5 "$DIR"/*.log >&2
    exit 1
}
trap 'cluster_stop; rm -rf "$DIR"' EXIT

cluster_start 3 10 || fail "the cluster did not become ready"
export LEVERCOVE_ENTRY=127.0.0.1:${ENTRY_HTTP[0]}
CLI=$BUILD/cli/levercove

echo "== 3 entries and 10 companions in 3 halls are ready"
"$CLI" table set contest weight=3 max_wait_ms=60000 || fail "table set"
"$CLI" table set practice weight=1 || fail "table set"
"$CLI" table show || fail "table show"

echo "== a submission of 12 test cases"
jq -n '{group: "contest", repeatable: true,
        tasks: [range(12) | {ms: (50 + 20 * .), echo: "case \(.): passed"} | tojson]}' \
    >"$DIR/job.json"
"$CLI" submit "$DIR/job.json" >"$DIR/answer.json" || fail "submit: $(cat "$DIR/answer.json")"
jq -r '"outcome: \(.outcome)", (.results[] | "  \(.code) \(.text)")' "$DIR/answer.json"
[ "$(jq -r '[.results[] | select(.code == 200)] | length' "$DIR/answer.json")" = 12 ] ||
    fail "a result is missing"

echo "== the same key through another entry gets the same answer, and starts no task"
KEY=$(jq -r .key "$DIR/answer.json")
"$CLI" -e "127.0.0.1:${ENTRY_HTTP[1]}" --key "$KEY" submit "$DIR/job.json" >"$DIR/again.json" ||
    fail "submit again: $(cat "$DIR/again.json")"
cmp -s <(jq -S .results "$DIR/answer.json") <(jq -S .results "$DIR/again.json") ||
    fail "the answers differ"
STARTS=$(all_starts | wc -l)
echo "starts seen by the upstreams: $STARTS"
[ "$STARTS" = 12 ] || fail "expected 12 starts"

echo "== a leased job on stand-ins of the users' platform, explained from its logs"
mkdir "$DIR/leased"
JOB=$("$BUILD/tests/scenario" calm "$PWD/$BUILD/daemon/levercoved" "$DIR/leased" $PORT_BASE 2>/dev/null) ||
    fail "the leased job was not submitted"
"$CLI" explain "$JOB" "$DIR"/leased/*.log >"$DIR/trace" || fail "explain"
grep -E 'LC50[89]|sent|ended' "$DIR/trace"
[ "$(grep -c 'ended task .*: done' "$DIR/trace")" = 5 ] || fail "a task is missing"
echo "== done"
