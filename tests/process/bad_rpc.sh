#!/usr/bin/env bash
# Bytes that are no protocol, sent to the RPC ports of both roles: the
# connection is closed or the call refused, and the process works on.
. "$(dirname "$0")/lib.sh"
up 1 1

# send_hex PORT HEX: prints what comes back, in hex
send_hex() {
    exec 9<>"/dev/tcp/127.0.0.1/$1"
    printf "$(sed 's/../\\x&/g' <<<"$2")" >&9
    timeout 1 cat <&9 | od -An -tx1 | tr -d ' \n'
    exec 9<&-
}
WORDS=00000001000000000000000220004c43 # xid, call, RPC version, program
NONE=00000000000000000000000000000000  # credentials and verifier
for PORT in "${ENTRY_RPC[0]}" "${COMPANION_RPC[0]}"; do
    [ -z "$(send_hex "$PORT" ffffffff00)" ] || fail "an oversized record was answered"
    [ -z "$(send_hex "$PORT" 00000004ffffffff)" ] || fail "a fragment was answered"
    [ -z "$(send_hex "$PORT" 80000004ffffffff)" ] || fail "junk was answered"
    case $(send_hex "$PORT" "80000028${WORDS}0000000100000063$NONE") in
    *00000003) ;;
    *) fail "an unknown procedure was not refused" ;;
    esac
    case $(send_hex "$PORT" "8000002c${WORDS}0000000100000001${NONE}00000001") in
    *00000004) ;;
    *) fail "truncated arguments were not refused" ;;
    esac
    case $(send_hex "$PORT" "80000028${WORDS}0000000100000000$NONE") in
    *00000000) ;;
    *) fail "the null procedure was not answered" ;;
    esac
done
is_whole "$(post 0 "$(new_key)" "$(job 3 10)")" 3 || fail "no work afterwards"
