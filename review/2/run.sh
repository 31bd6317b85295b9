#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/daemon/levercoved ] && [ -x target/review/case-2 ] || exit 2
exec target/review/case-2 review/2/record.txt
