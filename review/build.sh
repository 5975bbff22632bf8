#!/usr/bin/env bash
# Builds the stand-ins of the review's cases in target/review/. Needs what the build of the deploy file needs, no more.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
builds=()
for source in review/standins/*.cpp; do
  "${CXX:-g++}" -std=c++20 -O1 -g1 -Wall -Wextra -o "target/review/$(basename "$source" .cpp)" "$source" -pthread &
  builds+=($!)
done
for build in "${builds[@]}"; do wait "$build"; done
