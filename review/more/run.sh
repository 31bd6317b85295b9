#!/bin/sh
# Runs one of the further findings: review/more/run.sh NAME, with TROUBLE=0
# without the disruption. Exits as the scripts of the cases do.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/daemon/levercoved ] && [ -x "target/review/case-$1" ] || exit 2
exec "target/review/case-$1" "review/more/$1/record.txt"
