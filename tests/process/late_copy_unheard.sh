#!/usr/bin/env bash
# Shows two runs at once of a job that is not durable where the companion of an
# unanswered start is not heard in time: it has died with its upstream and the
# job's entry.
set -u
cd "$(dirname "$0")/../.."
. tests/soak/play_scenario.sh

failed=0
play_late_copy late_copy_gone "the job is submitted again" "the job \(runs again\|is held back\)" || failed=1
exit $failed
