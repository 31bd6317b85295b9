#!/usr/bin/env bash
# Plays one crowd of clients that do not behave (tests/soak/crowd.cc). Crowds
# that use up descriptors meet the sanitized program, in which an access to
# freed memory always ends the process.
# Usage: BUILD=build SANITIZED=build-san tests/crowd.sh NAME
set -u
cd "$(dirname "$0")/.."
. scripts/ports.sh
BUILD=${BUILD:-build}
PROGRAM=$BUILD
case $1 in no_descriptors*) PROGRAM=${SANITIZED:-build-san} ;; esac
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT
export ASAN_OPTIONS=detect_leaks=0
"$BUILD/tests/crowd" "$1" "$PWD/$PROGRAM/daemon/levercoved" "$DIR" "$PORT_BASE" || {
    status=$?
    grep -hv '^{' "$DIR"/*.log | head -n 12
    exit $status
}
