#!/usr/bin/env bash
# Guards against two runs at once of a job that is not durable: an upstream that
# leaves the stop of a run unanswered is held for the tasks of other entries,
# and so goes on with the run of an entry that is gone, or of a caller that has
# hung up, when the caller has submitted the job elsewhere.
set -u
cd "$(dirname "$0")/../.."
. tests/soak/play_scenario.sh

play_past_lease() {
    play "$1" "the job runs" "$2" "its stop is ignored" "another entry has started a task beside it" \
        "the hold of the run has ended" "the job is submitted again" "the job runs again"
}

failed=0
play_past_lease run_past_lease "its owner is gone" || failed=1
play_past_lease run_past_halt "its owner is up" || failed=1
exit $failed
