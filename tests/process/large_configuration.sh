#!/usr/bin/env bash
# A configuration of 0.8 MB must be in force in time at an entry whose link
# transmits it in 0.4 s, although it changes four times in a row and other
# entries offer it, too.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
"$BUILD/tests/scenario" large_configuration "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1 ||
    { cat "$DIR/out"; exit 1; }
if grep '^violation' "$DIR/out"; then
    grep -hE '"LC(207|315|402)"' "$DIR/entry-0.log" | tail -n 30
    exit 1
fi
