#!/bin/sh
# Builds the stand-ins of the cases 4 to 6 into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Wall -Wextra -pthread"
g++ $flags -c -o "$out/world.o" review/standins-2/world.cpp
for case in isolation crashing memory; do
  g++ $flags -o "$out/$case" "review/standins-2/${case}_main.cpp" "$out/world.o"
done
