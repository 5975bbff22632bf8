#!/usr/bin/env bash
# Runs the fault soak over a range of seeds: scripts/soak.sh FIRST COUNT [SECONDS]. Continues after a failed
# seed; the exit code is nonzero if a check failed. BUILD_DIR names the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
export CATKINWELL_SOAK_FIRST="${1:?first seed}" CATKINWELL_SOAK_COUNT="${2:?number of seeds}"
export CATKINWELL_SOAK_SECONDS="${3:-12}"
exec "${BUILD_DIR:-build}/tests/fleetTests" "The promises hold under random faults"
