#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases, from the root of the repository:
# review/N/main.cpp becomes target/review-3/N. target/jackdawdeck comes from the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for number in 11 12 13 14 15; do
  [ -f "review/$number/main.cpp" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I "review/$number" \
    "review/$number/main.cpp" -o "target/review-3/$number"
done
