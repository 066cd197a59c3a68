#!/bin/sh
# Builds the program of each case, with its stand-ins, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review
for folder in review/[1-9]; do
  c++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review/${folder#review/}" "$folder"/*.cpp
done
