#!/usr/bin/env bash
# Guards against two runs at once of a forwarded job: it arrives after its withdrawal, which took another connection.
set -u
cd "$(dirname "$0")/../.."
. tests/soak/play_scenario.sh

play forward_overtaken "the connection between the entries is held up" "the jobs are withdrawn over another connection" \
    "another job is forwarded" "the held connection delivers its bytes" "a job is submitted again" || exit 1
grep -q '"event":"LC531"' "$DIR/forward_overtaken/entry-1.log" || { cat "$DIR/out"; echo "no withdrawn job arrived"; exit 1; }
