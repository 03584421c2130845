#!/usr/bin/env bash
# Builds the stand-ins and drivers of the second review's scripts into target/review-2, with the
# compiler alone. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for case in review/[4-8]; do
  [ -f "$case/run.sh" ] || continue
  for main in "$case"/*.cpp; do
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread review/tools-2/*.cpp "$main" \
      -o "$out/$(basename "$main" .cpp)"
  done
done
