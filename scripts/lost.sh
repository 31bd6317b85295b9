#!/usr/bin/env bash
# Shows where a day of the users' bench lost worth: the parts of its score, the
# prices, and the counts of requests that were asked, late, refused and failed,
# by class, hall, time window and last answer.
# Usage: scripts/lost.sh REPORT
# REPORT: a file that the users' bench wrote with --report.
set -eu
[ $# = 1 ] || { echo "usage: lost.sh REPORT" >&2; exit 2; }
[ -r "$1" ] || { echo "lost.sh: $1: cannot be read" >&2; exit 1; }

# lossy_rows FIELD: rows of a table whose worth is below 0.995, lowest first
lossy_rows() {
    jq -r --arg field "$1" '
        .[$field][] | select(.worth != null and .worth < 0.995)
        | [.name, .n, .in_aim, .late, .refused, .failed, .worth] | @tsv' "$REPORT" |
        sort -t "$(printf '\t')" -k 7,7n
}

# table TITLE FIELD
table() {
    printf '\n%-16s %7s %7s %6s %7s %6s %6s\n' "$1" asked in-time late refused failed worth
    lossy_rows "$2" | awk -F '\t' '{printf "%-16s %7d %7d %6d %7d %6d %6.3f\n", $1, $2, $3, $4, $5, $6, $7}'
}

REPORT=$1
jq -r '"worth \(.G), rules broken: \(.breaks | keys | join(" "))",
    (.parts[] | "\(.[0]): \(.[2]), weight \(.[1]), loses \((.[1] * (1 - .[2]) * 10000 | round) / 10000)"),
    (.prices[] | select(.[2] > 0.001) | "price of \(.[0]): \(.[2])")' "$REPORT"
table class classes
table hall zones
table "from second" windows
printf '\n%-16s %7s\n' "last answer" unserved
jq -r '.unserved_by[] | [.[0], .[1]] | @tsv' "$REPORT" |
    awk -F '\t' '{printf "%-16s %7d\n", $1, $2}'
