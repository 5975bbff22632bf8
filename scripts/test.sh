#!/usr/bin/env bash
# Installs the packages, builds and runs every test through ctest.
# BUILD_DIR chooses the build folder, CMAKE_OPTIONS adds options to the configure step.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
scripts/install-packages.sh
# shellcheck disable=SC2086
cmake -S . -B "$build" -G Ninja ${CMAKE_OPTIONS:-} >/dev/null
cmake --build "$build"
ctest --test-dir "$build" --output-on-failure -j4
