#!/usr/bin/env bash
# Checks that names of the platform's interface occur only in platform/, in
# deploy/, and in the tests and pages about their translation.
set -u
cd "$(dirname "$0")/.."
NAMES='fencing_token|run-start|run-stop|best_effort|last_seen"|clock_ms"|deregister|path_prefix"|target_latency_ms|log-append|log-read|log-newest|log-join|keyed\.|op/config|x-deadline|X-Expect-Instance|anti_affinity|depends_on"|estimate_ms"|minion|checkpointing|heartbeat_url|run_start|retransmit_ms|evacuat'
found=$(grep -rnE "$NAMES" --include='*.c' --include='*.h' --include='*.x' base wire core lease daemon cli |
    grep -v '^wire/levercove_xdr.c')
[ -z "$found" ] && exit 0
echo "names of the platform outside platform/:"
echo "$found"
exit 1
