#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts into target/review. Needs a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")"
output=../target/review
mkdir -p "$output"
for source in */case.cpp; do
  "${CXX:-g++}" -std=c++20 -O2 -pthread -o "$output/case-${source%/case.cpp}" "$source" stand_ins/*.cpp
done
