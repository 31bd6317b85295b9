#!/usr/bin/env bash
# Nothing listens at the addresses of the seeds: entries and companions must
# find each other by the registry in the store, at their first start and after
# a power loss of all processes.
set -u
cd "$(dirname "$0")/../.."
. scripts/ports.sh
BUILD=${BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

"$BUILD/tests/scenario" seeds_gone "$PWD/$BUILD/daemon/levercoved" "$DIR" $PORT_BASE >"$DIR/out" 2>&1
grep '^violation' "$DIR/out" && exit 1
# All processes lose power at 3.5 s for 100 ms, and heartbeats of the upstreams
# arrive within 500 ms more: all jobs sent from 5 s on must be done.
awk '$1 == "second" && $2 + 0 >= 5 && ($4 + 0 == 0 || $4 + 0 != $6 + 0) { print; wrong = 1 }
     $1 == "second" && $2 + 0 == 2 && $6 + 0 < 0.9 * $4 { print; wrong = 1 }
     $1 == "second" { sent += $4; done += $6 }
     END { if (sent < 100 || done < 0.7 * sent) { print done + 0 " of " sent + 0 " done"; wrong = 1 }
           exit wrong }' "$DIR/out" || { cat "$DIR/out"; exit 1; }
