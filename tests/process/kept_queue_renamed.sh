#!/usr/bin/env bash
# Guards against accepted jobs that are unknown to their callers, or never run,
# once their queue has another name, prefix or namesake: in calm, with planned
# stops of all entries, and with all of them killed at once.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

offset=0
for play in calm stops kills; do
    mkdir "$DIR/$play"
    "$BUILD/tests/queue_changes" $play "$PWD/$BUILD/daemon/levercoved" "$DIR/$play" $((PORT_BASE + offset)) >"$DIR/$play/out" 2>&1 &
    offset=$((offset + 20))
done
wait
status=0
for play in calm stops kills; do
    grep -q "^$play, .*: 0 violations$" "$DIR/$play/out" || { grep -v '^ *[0-9]* [a-z]' "$DIR/$play/out" | cut -c 1-200 | tail -n 30; status=1; }
done
grep -q '"LC322".*4 open jobs of queue renamed: formerly of queue renamed, now of queue renamed-2, matched by address' "$DIR"/calm/entry-0.log ||
    { echo "no line tells that the jobs' queue has changed"; status=1; }
exit $status
