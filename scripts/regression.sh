#!/usr/bin/env bash
# Regression run on the users' bench, before each merge and on the final code:
# the score of every deployment and a hunt (40 days, 8 for deployments of 60
# machines or more), one after the other. Prints the gate, the worth of each
# day and the days on which a rule was broken; the full outputs stay in OUT.
# Usage: FLEETBENCH=PROGRAM scripts/regression.sh FOLDER WHY [DEPLOYMENT...]
# FOLDER: the users' folder of deployments. OUT: folder for outputs (a new one).
# JOBS: parallel days (4). The large deployment replaces the two oldest (in
# sites/).
set -u
[ $# -ge 2 ] || { echo "usage: regression.sh FOLDER WHY [DEPLOYMENT...]" >&2; exit 2; }
FOLDER=$1 WHY=$2
shift 2
OUT=${OUT:-$(mktemp -d)}
JOBS=${JOBS:-4}
[ $# -gt 0 ] || set -- shifted/songlam-judge-now-grown large/songlam-judge-large further/wlk-jagdfisch \
    further-grown/wlk-jagdfisch-grown grown/songlam-judge-grown grown/vbb-spieltisch-grown
LARGE='-(large|grown)$'
status=0

# run_bench VERB NAME OPTION...: prints the relevant lines of a run
run_bench() {
    local verb=$1 name=$2
    shift 2
    "$FLEETBENCH" "$verb" "$FOLDER/$name.toml" --jobs "$JOBS" --why "$WHY, $verb" "$@" \
        >"$OUT/$verb-$(basename "$name")" 2>&1 || status=1
    grep -E '^GATE|^score on|with a rule broken|^(quiet|trouble|scale|fresh)-[^ ]+ +[0-9]+/' \
        "$OUT/$verb-$(basename "$name")" | cut -c1-100
}

for name in "$@"; do
    [ -r "$FOLDER/$name.toml" ] || { echo "regression.sh: $FOLDER/$name.toml: cannot be read" >&2; exit 1; }
    days=40
    [[ $name =~ $LARGE ]] && days=8
    run_bench score "$name"
    run_bench hunt "$name" --days "$days" | grep 'rule broken'
done
echo "outputs: $OUT"
exit $status
