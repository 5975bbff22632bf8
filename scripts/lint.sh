#!/usr/bin/env bash
# Runs clang-tidy on the sources outside tests/. Arguments, if any, are the files to check.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(find src platform experiments -name '*.cpp' | sort); fi
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy -p "$build" --quiet 2>/dev/null
