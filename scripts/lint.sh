#!/usr/bin/env bash
# Checks formatting and runs the linters. Fails on any finding.
set -u
cd "$(dirname "$0")/.."
BUILD=${1:-build}
status=0

echo "lint: clang-format"
scripts/sources.sh | xargs clang-format --dry-run -Werror || status=1

echo "lint: clang-tidy"
scripts/sources.sh | grep '\.c$' |
    xargs -P "$(nproc)" -n 4 clang-tidy -p "$BUILD" --quiet 2>/dev/null |
    grep -E 'warning:|error:' && status=1

echo "lint: cppcheck"
cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr \
    --enable=warning,performance,portability \
    --suppressions-list=.cppcheck-suppressions -I . \
    $(scripts/sources.sh | grep '\.c$') || status=1

echo "lint: shell"
for script in scripts/*.sh tests/*.sh .ci/run; do
    [ -e "$script" ] || continue
    bash -n "$script" || status=1
done
[ $status = 0 ] && echo "lint: clean"
exit $status
