# Plays scenarios on real processes; sourced by the tests in tests/process, from
# the repository's root.
. scripts/ports.sh
BUILD=${PLAIN_BUILD:-build}
DIR=$(mktemp -d)
trap 'rm -rf "$DIR"' EXIT

# play NAME STEP...: plays a scenario, which must have no violation and must
# have reached the steps. The logs of its processes are in $DIR/NAME.
play() {
    local name=$1 step
    shift
    mkdir "$DIR/$name"
    "$BUILD/tests/scenario" "$name" "$PWD/$BUILD/daemon/levercoved" "$DIR/$name" $PORT_BASE >"$DIR/out" 2>&1
    if grep '^violation' "$DIR/out"; then return 1; fi
    for step in "$@"; do
        grep -q "^step .*: $step$" "$DIR/out" || { cat "$DIR/out"; echo "not reached: $step"; return 1; }
    done
}

# play_late_copy NAME STEP...: the same for a scenario in which an unanswered
# start is executed by an upstream that has restarted under its name
play_late_copy() {
    play "$@" "the start is kept" "the upstream has restarted" "the late start is executed" "the late run has ended" || return 1
    grep -q "started again under its name" "$DIR/$1"/companion-*.log || { cat "$DIR/out"; echo "no upstream restarted under its name"; return 1; }
}
