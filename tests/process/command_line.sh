#!/usr/bin/env bash
# Tests the operators' command line against a running cluster.
. "$(dirname "$0")/lib.sh"
start_ready_cluster 1 1
cli table set practice weight=2 max_wait_ms=500 >/dev/null || fail "set"
cli table export >"$DIR/table.csv" || fail "export"
grep -q '^practice,2,0,0,0,500' "$DIR/table.csv" || fail "export: $(cat "$DIR/table.csv")"
sed -i 's/^practice,2/practice,5/' "$DIR/table.csv"
printf 'hiring,7,3,,,\r\n' >>"$DIR/table.csv"
cli table import "$DIR/table.csv" >"$DIR/out" || fail "import: $(cat "$DIR/out")"
grep -q '^contest: unchanged' "$DIR/out" || fail "import: $(cat "$DIR/out")"
cli table show >"$DIR/out"
grep -Eq '^practice +5 ' "$DIR/out" || fail "show: $(cat "$DIR/out")"
grep -Eq '^hiring +7 +3 ' "$DIR/out" || fail "show: $(cat "$DIR/out")"
printf 'group,weight\r\nfine,1\r\nbad name,1\r\n' >"$DIR/bad.csv"
cli table import "$DIR/bad.csv" 2>"$DIR/err"
[ $? = 2 ] || fail "an invalid file was accepted"
grep -q 'line 3' "$DIR/err" || fail "import: $(cat "$DIR/err")"
cli table show | grep -q '^fine' && fail "an invalid file changed the table"
cli table remove hiring >/dev/null || fail "remove"
cli table remove hiring 2>/dev/null
[ $? = 4 ] || fail "a removed group was removed again"
cli table set contest weight=0 2>"$DIR/err"
[ $? = 2 ] || fail "weight 0 was accepted"
cli table set contest weight 2>/dev/null
[ $? = 2 ] || fail "a cell without a value was accepted"
"$BUILD/cli/levercove" state "127.0.0.1:${COMPANION_ADMIN[0]}" | jq -e '.role == "companion"' \
    >/dev/null || fail "state"
"$BUILD/cli/levercove" check-settings "$DIR/e0.json" >/dev/null || fail "check-settings"
"$BUILD/daemon/levercoved" --check "$DIR/c0.json" >/dev/null || fail "--check"
echo '{"role": "entry"}' >"$DIR/wrong.json"
"$BUILD/daemon/levercoved" "$DIR/wrong.json" 2>"$DIR/err"
[ $? = 2 ] || fail "invalid settings were accepted"
[ "$(grep -c missing "$DIR/err")" = 6 ] || fail "settings: $(cat "$DIR/err")"
job 2 10 >"$DIR/job.json"
cli submit "$DIR/job.json" >/dev/null || fail "submit"
echo '{"group": "nobody", "repeatable": true, "tasks": ["x"]}' >"$DIR/job.json"
cli submit "$DIR/job.json" >/dev/null
[ $? = 3 ] || fail "the exit code does not report the error"
"$BUILD/cli/levercove" --help | grep -q 'table import' || fail "help"
"$BUILD/cli/levercove" --version | grep -q levercove || fail "version"
"$BUILD/cli/levercove" dance 2>/dev/null
[ $? = 2 ] || fail "an unknown command was accepted"
