#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  name="$(basename "$source" .cpp)"
  echo "building $name"
  c++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/$name" "$source"
done
