#!/usr/bin/env bash
# Guards against two runs at once of a job that is not durable, as late_copy.sh
# does, where the job's entry lives: its caller hangs up, it answers at the
# deadline, it retries the task itself, it is cut off meanwhile; where the
# upstream crashes only after the second run has begun; and where the job is
# submitted again at entries that the companion does not usually report to.
set -u
cd "$(dirname "$0")/../.."
. tests/soak/play_scenario.sh

failed=0
play_late_copy late_copy_hang_up "the job is held back" || failed=1
play_late_copy late_copy_deadline "the job is held back" || failed=1
play_late_copy late_copy_retry "a copy of the start is executed, and fails" "the job runs again" "the upstream crashes" || failed=1
play_late_copy late_copy_cut "the entry is no longer cut off" "the job is held back" || failed=1
play_late_copy late_copy_crash "the job runs again" "the upstream crashes" || failed=1
play_late_copy late_copy_everywhere "the job is submitted at all entries" "the job is held back" || failed=1
exit $failed
