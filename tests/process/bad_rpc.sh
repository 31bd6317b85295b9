#!/usr/bin/env bash
# Malformed bytes sent to the RPC ports of both roles: the process must close
# the connection or refuse the call, and go on working.
. "$(dirname "$0")/lib.sh"
start_ready_cluster 1 1

# send_hex PORT HEX: sends the bytes and prints the answer in hex
send_hex() {
    exec 9<>"/dev/tcp/127.0.0.1/$1"
    printf "$(sed 's/../\\x&/g' <<<"$2")" >&9
    timeout 1 cat <&9 | od -An -tx1 | tr -d ' \n'
    exec 9<&-
}
HEADER=00000001000000000000000220004c43 # xid, call, RPC version, program
NO_AUTH=00000000000000000000000000000000 # credentials and verifier
for PORT in "${ENTRY_RPC[0]}" "${COMPANION_RPC[0]}"; do
    [ -z "$(send_hex "$PORT" ffffffff00)" ] || fail "an oversized record was answered"
    [ -z "$(send_hex "$PORT" 00000004ffffffff)" ] || fail "a fragment was answered"
    [ -z "$(send_hex "$PORT" 80000004ffffffff)" ] || fail "junk was answered"
    case $(send_hex "$PORT" "80000028${HEADER}0000000100000063$NO_AUTH") in
    *00000003) ;;
    *) fail "an unknown procedure was not refused" ;;
    esac
    case $(send_hex "$PORT" "8000002c${HEADER}0000000100000001${NO_AUTH}00000001") in
    *00000004) ;;
    *) fail "truncated arguments were not refused" ;;
    esac
    case $(send_hex "$PORT" "80000028${HEADER}0000000100000000$NO_AUTH") in
    *00000000) ;;
    *) fail "the null procedure was not answered" ;;
    esac
done
is_complete "$(post 0 "$(new_key)" "$(job 3 10)")" 3 || fail "no complete answer afterwards"
