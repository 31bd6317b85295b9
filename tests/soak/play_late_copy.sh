# Plays scenarios in which an unanswered start is executed late; for
# late_copy_*.sh.
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

# play NAME STEP...: plays a scenario that must have no violation and must have
# reached the steps
play() {
    local name=$1 step
    shift
    mkdir "$DIR/$name"
    "$BUILD/tests/scenario" "$name" "$PWD/$BUILD/daemon/levercoved" "$DIR/$name" $((20000 + $$ % 100 * 100)) >"$DIR/out" 2>&1
    if grep '^violation' "$DIR/out"; then return 1; fi
    for step in "the start is kept" "$@" "the upstream has restarted" "the late start is executed" "the late run has ended"; do
        grep -q "^step .*: $step$" "$DIR/out" || { cat "$DIR/out"; return 1; }
    done
    grep -q "started again under its name" "$DIR/$name"/companion-*.log || { cat "$DIR/out"; echo "no upstream restarted under its name"; return 1; }
}
