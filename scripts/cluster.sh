# Starts a small cluster on loopback; sourced by the demo, the process tests
# and the benchmarks. Needs BUILD (build folder) and DIR (an empty folder).
# cluster_stop kills every process that was started here, by its pid.

set -o pipefail

HALLS=(tan-binh thu-duc quan-bay)
declare -A PIDS
declare -a PORTS
PORT_AT=0
ENTRIES=0
COMPANIONS=0
SLOTS=${SLOTS:-8}
TIMES=${TIMES:-}

next_port() {
    REPLY=${PORTS[$PORT_AT]}
    PORT_AT=$((PORT_AT + 1))
}

# start NAME COMMAND...: runs it in the background, with output to DIR/NAME.log
start() {
    local name=$1
    shift
    "$@" >>"$DIR/$name.log" 2>&1 &
    PIDS[$name]=$!
}

# http METHOD PORT PATH [CURL OPTIONS...]
http() {
    local method=$1 port=$2 path=$3
    shift 3
    curl -sS --max-time 60 -X "$method" "http://127.0.0.1:$port$path" "$@"
}

# wait_for SECONDS COMMAND...: retries the command until it succeeds, and fails
# after SECONDS
wait_for() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || return 1
        sleep 0.05
    done
}

hosts_json() {
    local list="" i state
    for ((i = 0; i < ENTRIES; i++)); do
        state=${HOST_STATE[e$i]:-live}
        [ "$state" = gone ] && continue
        list+="{\"address\":\"127.0.0.1:${ENTRY_RPC[$i]}\",\"role\":\"entry\",\"state\":\"$state\"},"
    done
    for ((i = 0; i < COMPANIONS; i++)); do
        state=${HOST_STATE[c$i]:-live}
        [ "$state" = gone ] && continue
        list+="{\"address\":\"127.0.0.1:${COMPANION_RPC[$i]}\",\"role\":\"companion\",\"state\":\"$state\"},"
    done
    echo "{\"hosts\":[${list%,}]}"
}

publish_hosts() {
    hosts_json | http PUT "$PLATFORM" /hosts --data-binary @- >/dev/null
}

write_entry() {
    local i=$1 policy=""
    [ -z "${ORDER:-}" ] || policy+=", \"order\": \"$ORDER\""
    [ -z "${PLACEMENT:-}" ] || policy+=", \"placement\": \"$PLACEMENT\""
    cat >"$DIR/e$i.json" <<EOF
{"role": "entry", "hall": "${HALLS[$((i % 3))]}",
 "rpc": "127.0.0.1:${ENTRY_RPC[$i]}", "admin": "127.0.0.1:${ENTRY_ADMIN[$i]}",
 "callers": "127.0.0.1:${ENTRY_HTTP[$i]}", "log": "127.0.0.1:$PLATFORM",
 "hosts": "127.0.0.1:$PLATFORM"$policy, "times": {${TIMES}}}
EOF
}

write_companion() {
    local i=$1
    cat >"$DIR/c$i.json" <<EOF
{"role": "companion", "hall": "${HALLS[$((i % 3))]}",
 "rpc": "127.0.0.1:${COMPANION_RPC[$i]}",
 "admin": "127.0.0.1:${COMPANION_ADMIN[$i]}",
 "upstream": "127.0.0.1:${UPSTREAM[$i]}", "slots": $SLOTS, "times": {}}
EOF
}

start_entry() { start "e$1" "$BUILD/daemon/levercoved" "$DIR/e$1.json"; }
start_companion() { start "c$1" "$BUILD/daemon/levercoved" "$DIR/c$1.json"; }

# entry_ready I COMPANIONS: whether entry I has settled and has at least that
# many usable companions
entry_ready() {
    http GET "${ENTRY_ADMIN[$1]}" /state 2>/dev/null |
        jq -e --argjson n "$2" '.settled and .evidence and
            ([.peers[] | select(.usable)] | length) >= $n' >/dev/null
}

# cluster_start ENTRIES COMPANIONS: fails if the entries do not become ready
cluster_start() {
    local i
    ENTRIES=$1
    COMPANIONS=$2
    local upstream_slots=$SLOTS
    # ONE_UPSTREAM: all companions share one upstream, which saves processes.
    [ -z "${ONE_UPSTREAM:-}" ] || upstream_slots=$((SLOTS * COMPANIONS))
    declare -gA HOST_STATE=()
    declare -ga ENTRY_RPC=() ENTRY_ADMIN=() ENTRY_HTTP=()
    declare -ga COMPANION_RPC=() COMPANION_ADMIN=() UPSTREAM=()
    mapfile -t PORTS < <("$BUILD/tests/standin_ports" $((1 + 3 * ENTRIES + 3 * COMPANIONS)))
    PORT_AT=0
    next_port; PLATFORM=$REPLY
    for ((i = 0; i < ENTRIES; i++)); do
        next_port; ENTRY_RPC[$i]=$REPLY
        next_port; ENTRY_ADMIN[$i]=$REPLY
        next_port; ENTRY_HTTP[$i]=$REPLY
        write_entry "$i"
    done
    for ((i = 0; i < COMPANIONS; i++)); do
        next_port; COMPANION_RPC[$i]=$REPLY
        next_port; COMPANION_ADMIN[$i]=$REPLY
        next_port; UPSTREAM[$i]=$REPLY
        [ -z "${ONE_UPSTREAM:-}" ] || UPSTREAM[$i]=${UPSTREAM[0]}
        write_companion "$i"
    done
    start platform "$BUILD/tests/standin_platform" "127.0.0.1:$PLATFORM"
    wait_for 10 http GET "$PLATFORM" /hosts || return 1
    publish_hosts
    for ((i = 0; i < COMPANIONS; i++)); do
        if [ -z "${ONE_UPSTREAM:-}" ] || [ "$i" = 0 ]; then
            start "u$i" "$BUILD/tests/standin_upstream" "127.0.0.1:${UPSTREAM[$i]}" \
                "$upstream_slots"
        fi
        start_companion "$i"
    done
    for ((i = 0; i < ENTRIES; i++)); do
        start_entry "$i"
    done
    for ((i = 0; i < ENTRIES; i++)); do
        wait_for 30 entry_ready "$i" "$COMPANIONS" || return 1
    done
}

# all_starts: a line "KEY INDEX" for each task start at any upstream
all_starts() {
    local i
    for ((i = 0; i < COMPANIONS; i++)); do
        http GET "${UPSTREAM[$i]}" /starts
    done
}

# reap NAME: waits for a process that was ended on purpose, and forgets its pid
reap() {
    wait "${PIDS[$1]}" 2>/dev/null
    unset "PIDS[$1]"
}

cluster_stop() {
    local name
    for name in "${!PIDS[@]}"; do
        kill -KILL "${PIDS[$name]}" 2>/dev/null
    done
    for name in "${!PIDS[@]}"; do
        wait "${PIDS[$name]}" 2>/dev/null
    done
    PIDS=()
    return 0
}
