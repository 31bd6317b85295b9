#!/usr/bin/env bash
# Checks that docs/EVENTS.md and docs/MANUAL.md list the events and errors that
# the code defines, and that the code uses each of them.
set -u
cd "$(dirname "$0")/.."
BUILD=${1:-build}
status=0
diff <("$BUILD/tests/lists" events) <(grep '^| LC' docs/EVENTS.md | sed 's/ *|[^|]*|$/ |/') ||
    { echo "docs/EVENTS.md differs from base/event.h"; status=1; }
diff <("$BUILD/tests/lists" errors) <(grep -E '^\| `[a-z_]+` \| [0-9]{3} \|' docs/MANUAL.md | cut -d'|' -f1-6 | sed 's/$/|/') ||
    { echo "docs/MANUAL.md differs from base/err.h"; status=1; }
for name in $(sed -n 's/^ *X(\([A-Z_]*\), [0-9]*, G_LOG.*/\1/p' base/event.h); do
    grep -qr "EVENT_$name\b" --include='*.c' base cli core daemon lease platform wire ||
        { echo "EVENT_$name is never logged"; status=1; }
done
for name in $(sed -n 's/^ *X(\([A-Z_]*\), "[a-z_]*", [0-9].*/\1/p' base/err.h); do
    grep -qr "ERR_$name\b" --include='*.c' base cli core daemon lease platform wire ||
        { echo "ERR_$name is never used"; status=1; }
done
exit $status
