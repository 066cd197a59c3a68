#!/bin/sh
# Builds the programs of the cases 6 to 10, with their stand-ins, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review
for number in 6 7 8 9 10; do
  [ -d "review/$number" ] || continue
  c++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review/$number" "review/$number"/*.cpp
done
