#!/usr/bin/env bash
# Sends the requests of tests/cases/http.txt to an entry and compares the
# answers.
. "$(dirname "$0")/process/lib.sh"
start_ready_cluster 1 1

run_case() {
    local name=$1 request=$2 expected=$3 method path body="" line got
    local -a options=()
    read -r method path <<<"${request%%$'\n'*}"
    while IFS= read -r line; do
        case $line in
        body:*) body=${line#body:} ;;
        *:*) options+=(-H "$line") ;;
        esac
    done <<<"${request#*$'\n'}"
    if [ -n "$body" ]; then
        expand_body "$body" >"$DIR/body"
        options+=(--data-binary "@$DIR/body")
    fi
    got=$(http "$method" "${ENTRY_HTTP[0]}" "$path" "${options[@]}" \
        -H 'Expect:' -w '\n%{http_code}')
    got=$(tail -n 1 <<<"$got")" "$(head -n 1 <<<"$got" |
        jq -r '"\(.outcome) \(.error) \(.message)"')
    case $got in
    "$expected"*) return 0 ;;
    esac
    echo "FAILED: $name: expected '$expected', got '$got'" >&2
    return 1
}

# expand_body TEXT: replaces "@N" by N times "x", and "@tasksN" by N tasks
expand_body() {
    local text=$1 count
    if [[ $text =~ @tasks([0-9]+) ]]; then
        count=${BASH_REMATCH[1]}
        printf '%s' "${text%%@tasks*}"
        printf '"a",%.0s' $(seq 2 "$count")
        printf '"a"%s' "${text#*@tasks"$count"}"
    elif [[ $text =~ @([0-9]+) ]]; then
        count=${BASH_REMATCH[1]}
        printf '%s' "${text%%@*}"
        head -c "$count" /dev/zero | tr '\0' x
        printf '%s' "${text#*@"$count"}"
    else
        printf '%s' "$text"
    fi
}

passed=0
failed=0
name="" input="" expected="" part=""
finish_case() {
    [ -z "$name" ] && return
    if run_case "$name" "${input%$'\n'}" "${expected%$'\n'}"; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
    fi
}
while IFS= read -r line; do
    case $line in
    "# "*) ;;
    "== "*)
        finish_case
        name=${line#== } input="" expected="" part=input
        ;;
    --) part=expected ;;
    *) [ "$part" = input ] && input+="$line"$'\n' || expected+="$line"$'\n' ;;
    esac
done <tests/cases/http.txt
finish_case
# None of the requests may have started a task, and the entry must still work.
[ "$(all_starts | wc -l)" = 0 ] || fail "a refused request started a task"
is_complete "$(post 0 "$(new_key)" "$(job 2 10)")" 2 || fail "no complete answer after the bad requests"
echo "http cases: $passed passed, $failed failed"
[ "$failed" = 0 ]
