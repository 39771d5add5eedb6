#!/bin/sh
# Builds the cases of the second review, with all stand-ins that they start, into target/review-2.
# Run it after the build of the deploy file. The cases share review/6/world.hpp, those on allotments also
# review/7/quota.hpp.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -pthread -Wall -Wno-psabi -I review/6 -I review/7 "$source" -o "target/review-2/case-$number"
done
