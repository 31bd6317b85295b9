# Shared by the process tests; each is `tests/process/NAME.sh`, exit 0: passed.

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

# up ENTRIES COMPANIONS: a ready cluster with the group "contest"
up() {
    local i
    cluster_start "$1" "$2" || fail "the cluster did not become ready"
    cli table set contest weight=2 >/dev/null || fail "cannot set the table"
    for ((i = 0; i < $1; i++)); do
        wait_for 10 entry_has_group "$i" || fail "entry $i has no table"
        wait_for 10 entry_ready "$i" "$2" || fail "entry $i is not ready"
    done
}

entry_has_group() {
    local i
    http GET "${ENTRY_HTTP[$1]}" /v1/table/groups/contest | jq -e .version >/dev/null
}

cli() { "$BUILD/cli/levercove" -e "127.0.0.1:${ENTRY_HTTP[0]}" "$@"; }

# new_key: a UUID of version 7, minted now
new_key() {
    local ms random
    ms=$(printf '%012x' "$(date +%s%3N)")
    random=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
    echo "${ms:0:8}-${ms:8:4}-7${random:0:3}-8${random:3:3}-${random:6:12}"
}

# job TASKS MS [REPEATABLE]: a job whose tasks take MS each, as JSON
job() {
    jq -cn --argjson n "$1" --argjson ms "$2" --argjson r "${3:-true}" \
        '{group: "contest", repeatable: $r,
          tasks: [range($n) | {ms: $ms, echo: "r\(.)"} | tojson]}'
}

# post ENTRY KEY JOB: prints the answer
post() {
    http POST "${ENTRY_HTTP[$1]}" /v1/jobs -H "Idempotency-Key: $2" \
        --data-binary "$3"
}

# post_until_done ENTRIES KEY JOB: as a client, resubmits what is unknown
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

# is_whole ANSWER N: done, with N results that are its own
is_whole() {
    jq -e --argjson n "$2" '.outcome == "done" and
        ([.results[].text] == [range($n) | "r\(.)"])' <<<"$1" >/dev/null
}

# no_double_starts: by the upstreams' own lists; nor more at once than slots
no_double_starts() {
    local doubles i
    for ((i = 0; i < COMPANIONS; i++)); do
        [ "$(http GET "${UPSTREAM[$i]}" /excess)" = 0 ] || fail "upstream $i got more than its slots"
    done
    doubles=$(all_starts | sort | uniq -d)
    [ -z "$doubles" ] || fail "started twice: $doubles"
}

# owner_of KEY: number of the entry that runs it
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
