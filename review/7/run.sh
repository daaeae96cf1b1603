#!/usr/bin/env bash
# Cuts a node off from the store and has a replica leave just after. Exits with 1 if the node sends it requests later than
# drain_ms after its entry was removed. TROUBLE=0 does the same without the cuts.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fenneld ] && [ -x target/review-stage2 ] || exit 2
RECORD="$PWD/review/7/record.txt" exec timeout -k 2 110 target/review-stage2 drained
