#!/usr/bin/env bash
# For three kinds of failed request, `levercove explain` must find the cause
# from the job's id and the logs alone.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
PORT=$PORT_BASE

# explain_scenario NAME: plays it; sets REPLY to the explanation of its job
explain_scenario() {
    local id
    mkdir "$DIR/$1"
    id=$("$BUILD/tests/scenario" "$1" "$PWD/$BUILD/daemon/levercoved" "$DIR/$1" $PORT) ||
        { echo "$1: the scenario failed"; exit 1; }
    REPLY=$("$BUILD/cli/levercove" explain "$id" "$DIR/$1"/*.log) ||
        { echo "$1: levercove explain failed"; exit 1; }
    PORT=$((PORT + 20))
}

# expect_match NAME PATTERN: fails unless REPLY matches
expect_match() {
    grep -qE "$2" <<<"$REPLY" || { echo "$1: expected $2 in"; echo "$REPLY"; exit 1; }
}

explain_scenario refusal
expect_match refusal 'LC303 .*no answer in time'
expect_match refusal 'LC510 .*cut off from all companions|LC500 '
explain_scenario grey
expect_match grey 'LC513 .*it hangs: 0%'
expect_match grey 'LC523 upstream on trial'
expect_match grey 'ended task .* stalled'
explain_scenario companion_dies
expect_match companion_dies 'LC303 .*companion 127.7.0.50'
expect_match companion_dies 'orphaned task'
expect_match companion_dies 'expired task'
expect_match companion_dies 'sent task .* run 2 at 127.7.0.51'
