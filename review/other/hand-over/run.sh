#!/usr/bin/env bash
# Exits with 1 if two hosts gave orders to one server within lease_ms, 0 if not, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../../.." || exit 2
[ -x target/catkinwell ] && [ -x target/review/hand_over ] || exit 2
timeout --signal=TERM 110 target/review/hand_over "$here/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
