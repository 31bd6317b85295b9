#!/usr/bin/env bash
# Plays one case: stand-2/run.sh FOLDER. Exit: 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
program=target/review-2/case-$(basename "$folder")
[ -x "$program" ] || { echo "review/build-2.sh comes first" >&2; exit 2; }
scratch=$(mktemp -d) || exit 2
timeout -k 5 115 "$program" "$scratch" "$folder/record.txt"
code=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp -r "$scratch" "$KEEP_LOGS"; fi
rm -rf "$scratch"
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
