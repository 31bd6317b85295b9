#!/usr/bin/env bash
# Mutation testing: breaks each mechanism in a scratch copy and checks that a
# test fails. tests/mutations/NAME.patch breaks it; its first lines describe
# how.
# Usage: scripts/mutations.sh [NAME...]
# SCHEDULES: random schedules per property (400); WORKERS: parallel copies (4)
set -u
cd "$(dirname "$0")/.."
ROOT=$PWD
SCHEDULES=${SCHEDULES:-400}
WORKERS=${WORKERS:-4}
SCRATCH=$(mktemp -d)
trap 'rm -rf "$SCRATCH"' EXIT
[ $# -gt 0 ] || set -- $(basename -s .patch tests/mutations/*.patch)

# Names that begin with "lease-" are about leased jobs, the others about jobs
# owned by key.
is_leased() { [ "${1#lease-}" != "$1" ]; }

targets_of() {
    if is_leased "$1"; then echo "lease_rules runner_rules order_rules heartbeat_rules odd_heartbeat_rules odd_rows_rules rebirth_rules late_start_rules late_copy_rules silent_companion_rules run_past_lease_rules waiting_polls_rules caller_gone_rules stalled_rules http_client_rules keyed_log_rules http_server_rules view_rules link_rules forward_rules rpc_rules client_limits_rules routes_rules registry_rules choice_rules halls_rules lease_cases claims_rules queue_rules kept_rules prop_lease"; else echo "cases rules prop_cluster"; fi
}

# run_tests FOLDER NAME: runs the tests, fastest first, until one fails
run_tests() {
    local folder=$1 name=$2 test
    for test in $(targets_of "$name"); do
        if ! RC_PARAMS="seed=20261202 max_success=$SCHEDULES noshrink=1" \
            "$folder/build/tests/$test" >"$folder/log" 2>&1; then
            echo "caught $name: $(grep -m 1 -E '^(Bail out|not ok|at [0-9]+ ms:|double start|partial|wrong|false not_run|unanswered|work to a leaving|cut off|table|limit)' "$folder/log" |
                cut -c1-110)"
            return
        fi
    done
    echo "MISSED $name: no test failed"
}

# test_mutation FOLDER NAME: prints one line
test_mutation() {
    local folder=$1 name=$2 patch=$ROOT/tests/mutations/$2.patch
    if ! patch -s -p1 -d "$folder" <"$patch" >/dev/null; then
        echo "MISSED $name: the patch does not apply"
        return
    fi
    if ! cmake --build "$folder/build" --target $(targets_of "$name") -j 2 >"$folder/log" 2>&1; then
        echo "MISSED $name: does not build: $(grep -m 1 error: "$folder/log")"
    else
        run_tests "$folder" "$name"
    fi
    patch -s -R -p1 -d "$folder" <"$patch"
}

# run_worker NUMBER NAME...: tests every WORKERS-th mutation
run_worker() {
    local folder=$SCRATCH/$1 at=0 name
    mkdir "$folder"
    cp -r base core lease wire platform daemon cli cmake tests CMakeLists.txt "$folder"
    cmake -S "$folder" -B "$folder/build" >/dev/null
    for name in "${@:2}"; do
        [ $((at % WORKERS)) = "$1" ] && test_mutation "$folder" "$name"
        at=$((at + 1))
    done
}

for ((worker = 0; worker < WORKERS; worker++)); do
    run_worker "$worker" "$@" 2>/dev/null &
done | tee "$SCRATCH/result"
wait
caught=$(grep -c '^caught' "$SCRATCH/result")
missed=$(grep -c '^MISSED' "$SCRATCH/result")
echo "$caught caught, $missed missed"
[ "$missed" = 0 ]
