#!/usr/bin/env bash
# Builds everything with the address and undefined-behaviour sanitizers and runs all tests.
# Arguments, if any, go to ctest, for example: -R http
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build-sanitize}"
scripts/install-packages.sh
cmake -S . -B "$build" -G Ninja -DCATKINWELL_SANITIZE=ON >/dev/null
cmake --build "$build"
export ASAN_OPTIONS="detect_leaks=1:abort_on_error=0" UBSAN_OPTIONS="print_stacktrace=1:halt_on_error=1"
ctest --test-dir "$build" --output-on-failure -j2 --timeout 900 "$@"
