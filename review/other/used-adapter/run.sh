#!/usr/bin/env bash
# Exits with 1 if a server was ordered to load more than its places hold, 0 if not, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../../.." || exit 2
[ -x target/catkinwell ] && [ -x target/review/used_adapter ] || exit 2
timeout --signal=TERM 110 target/review/used_adapter "$here/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
