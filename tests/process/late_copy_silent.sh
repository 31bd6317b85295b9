#!/usr/bin/env bash
# Shows that an unanswered start of a job that is not durable has no second run
# beside it where the companion of the start is not heard in time: it stands
# still while the job's entry retries the task; or the entry was cut off from
# all companions and hears another one first.
set -u
cd "$(dirname "$0")/../.."
. tests/soak/play_scenario.sh

failed=0
play_late_copy late_copy_silent "the job \(runs again\|is held back\)" || failed=1
play_late_copy late_copy_cut_retry "the entry is no longer cut off" "the job \(runs again\|is held back\)" || failed=1
exit $failed
