#!/usr/bin/env bash
# Shows two runs at once of a job that is not durable where the companion of an
# unanswered start cannot tell of it: it stands still while the job's entry
# retries the task, or it dies with its upstream and the job's entry.
set -u
cd "$(dirname "$0")/../.."
. tests/soak/play_late_copy.sh

failed=0
play late_copy_silent "the job \(runs again\|is held back\)" || failed=1
play late_copy_gone "the job is submitted again" "the job \(runs again\|is held back\)" || failed=1
exit $failed
