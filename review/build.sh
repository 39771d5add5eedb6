#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start: one program, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -o bin/reviewkit.new kit/main.cpp
mv bin/reviewkit.new bin/reviewkit
