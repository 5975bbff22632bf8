#!/usr/bin/env bash
# Formats every source file; with --check it only reports files that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mode="-i"
[ "${1:-}" = "--check" ] && mode="--dry-run -Werror"
# shellcheck disable=SC2086
find include src platform tests experiments \( -name '*.h' -o -name '*.cpp' \) -print0 | xargs -0 -n 20 -P 8 clang-format $mode
