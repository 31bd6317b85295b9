#!/usr/bin/env bash
# Sends the cases of tests/cases/http.txt to an entry and compares.
. "$(dirname "$0")/process/lib.sh"
up 1 1

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
        expand "$body" >"$DIR/body"
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

# "@N" stands for N times "x", "@tasksN" for N tasks.
expand() {
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
end_case() {
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
        end_case
        name=${line#== } input="" expected="" part=input
        ;;
    --) part=expected ;;
    *) [ "$part" = input ] && input+="$line"$'\n' || expected+="$line"$'\n' ;;
    esac
done <tests/cases/http.txt
end_case
# Nothing of all that started anything, and the entry still works.
[ "$(all_starts | wc -l)" = 0 ] || fail "a refused request started a task"
is_whole "$(post 0 "$(new_key)" "$(job 2 10)")" 2 || fail "no answer after the bad requests"
echo "http cases: $passed passed, $failed failed"
[ "$failed" = 0 ]
