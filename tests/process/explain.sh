#!/usr/bin/env bash
# Three kinds of failed request: from the job's identity to its cause, by the
# logs alone.
set -u
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
PORT=$((20000 + $$ % 100 * 100)) # a range of its own for each run

# play NAME: sets REPLY to what `levercove explain` says of its job
play() {
    local id
    mkdir "$DIR/$1"
    id=$("$BUILD/tests/scenario" "$1" "$PWD/$BUILD/daemon/levercoved" "$DIR/$1" $PORT) ||
        { echo "$1: the scenario failed"; exit 1; }
    REPLY=$("$BUILD/cli/levercove" explain "$id" "$DIR/$1"/*.log) ||
        { echo "$1: nothing explained"; exit 1; }
    PORT=$((PORT + 20))
}

# says NAME PATTERN
says() {
    grep -qE "$2" <<<"$REPLY" || { echo "$1: expected $2 in"; echo "$REPLY"; exit 1; }
}

play refusal
says refusal 'LC303 .*no answer in time'
says refusal 'LC510 .*cut off from all companions|LC500 '
play grey
says grey 'LC513 .*it hangs: 0%'
says grey 'LC523 upstream on trial'
says grey 'ended task .* stalled'
play companion_dies
says companion_dies 'LC303 .*companion 127.7.0.50'
says companion_dies 'orphaned task'
says companion_dies 'expired task'
says companion_dies 'sent task .* run 2 at 127.7.0.51'
