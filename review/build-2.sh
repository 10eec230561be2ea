#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into review/stand_ins_2/target.
set -euo pipefail
cd "$(dirname "$0")/stand_ins_2"
mkdir -p target
for program in foreign_entry foreign_copy fraction_bound saturation cold_service; do
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -o "target/$program" "$program.cpp" \
    event_loop.cpp packet.cpp store.cpp host.cpp fleet.cpp client.cpp
done
