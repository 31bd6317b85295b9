# Shared by the process tests. A test is a script tests/process/NAME.sh that
# exits with 0 if it passed.

cd "$(dirname "${BASH_SOURCE[0]}")/../.."
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
. scripts/cluster.sh

fail() {
    echo "FAILED: $*" >&2
    tail -n 8 "$DIR"/e*.log >&2
    exit 1
}

finish() {
    cluster_stop
    rm -rf "$DIR"
}
trap finish EXIT

# start_ready_cluster ENTRIES COMPANIONS: with the group "contest"
start_ready_cluster() {
    local i
    cluster_start "$1" "$2" || fail "the cluster did not become ready"
    cli table set contest weight=2 >/dev/null || fail "cannot edit the group table"
    for ((i = 0; i < $1; i++)); do
        wait_for 10 entry_has_group "$i" || fail "entry $i does not have the group table"
        wait_for 10 entry_ready "$i" "$2" || fail "entry $i is not ready"
    done
}

entry_has_group() {
    local i
    http GET "${ENTRY_HTTP[$1]}" /v1/table/groups/contest | jq -e .version >/dev/null
}

cli() { "$BUILD/cli/levercove" -e "127.0.0.1:${ENTRY_HTTP[0]}" "$@"; }

# new_key: a new UUID of version 7
new_key() {
    local ms random
    ms=$(printf '%012x' "$(date +%s%3N)")
    random=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
    echo "${ms:0:8}-${ms:8:4}-7${random:0:3}-8${random:3:3}-${random:6:12}"
}

# job TASKS MS [REPEATABLE]: JSON of a job whose tasks take MS each
job() {
    jq -cn --argjson n "$1" --argjson ms "$2" --argjson r "${3:-true}" \
        '{group: "contest", repeatable: $r,
          tasks: [range($n) | {ms: $ms, echo: "r\(.)"} | tojson]}'
}

# post ENTRY KEY JOB: submits a job and prints the answer
post() {
    http POST "${ENTRY_HTTP[$1]}" /v1/jobs -H "Idempotency-Key: $2" \
        --data-binary "$3"
}

# post_until_done ENTRIES KEY JOB: resubmits, as a client does, until the
# outcome is known, and prints the answer
post_until_done() {
    local entry answer outcome try
    for ((try = 0; try < 60; try++)); do
        for entry in $1; do
            answer=$(post "$entry" "$2" "$3" 2>/dev/null)
            outcome=$(jq -r .outcome <<<"$answer" 2>/dev/null)
            case $outcome in
            done | failed | refused)
                echo "$answer"
                return 0
                ;;
            esac
            sleep 0.3
        done
    done
    echo "$answer"
    return 1
}

# is_complete ANSWER N: whether the job is done with its N results in order
is_complete() {
    jq -e --argjson n "$2" '.outcome == "done" and
        ([.results[].text] == [range($n) | "r\(.)"])' <<<"$1" >/dev/null
}

# check_starts: fails if an upstream got more tasks at once than its slots, or
# if any task was started twice, by the upstreams' own lists
check_starts() {
    local doubles i
    for ((i = 0; i < COMPANIONS; i++)); do
        [ "$(http GET "${UPSTREAM[$i]}" /excess)" = 0 ] || fail "upstream $i got more tasks than its slots"
    done
    doubles=$(all_starts | sort | uniq -d)
    [ -z "$doubles" ] || fail "started twice: $doubles"
}

# owner_of KEY: prints the number of the entry that runs the job
owner_of() {
    local i
    for ((i = 0; i < ENTRIES; i++)); do
        if http GET "${ENTRY_ADMIN[$i]}" /state |
            jq -e --arg k "$1" '[.active[] | select(. == $k)] | length > 0' \
                >/dev/null; then
            echo "$i"
            return 0
        fi
    done
    return 1
}
