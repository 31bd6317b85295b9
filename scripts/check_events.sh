#!/usr/bin/env bash
# Compares docs/EVENTS.md and docs/MANUAL.md with the lists in the code.
set -u
cd "$(dirname "$0")/.."
BUILD=${1:-build}
status=0
diff <("$BUILD/tests/lists" events) <(grep '^| LC' docs/EVENTS.md | sed 's/ *|[^|]*|$/ |/') ||
    { echo "docs/EVENTS.md differs from base/event.h"; status=1; }
diff <("$BUILD/tests/lists" errors) <(grep -E '^\| `[a-z_]+` \| [0-9]{3} \|' docs/MANUAL.md | cut -d'|' -f1-6 | sed 's/$/|/') ||
    { echo "docs/MANUAL.md differs from base/err.h"; status=1; }
exit $status
