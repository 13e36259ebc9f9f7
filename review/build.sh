#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into build/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
builds=()
for source in review/[0-9]/*.cpp; do
  program="build/review/$(basename "$source" .cpp)"
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "$program" "$source" &
  builds+=($!)
done
for build in "${builds[@]}"; do wait "$build"; done
