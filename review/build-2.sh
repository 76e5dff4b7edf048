#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on, into target/review-2/. Needs g++.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
out=../../target/review-2
mkdir -p "$out"
g++ -std=c++20 -O1 -Wall -c rig.cpp -o "$out/rig.o"
for case in second-syn-ack odd-entry; do
  g++ -std=c++20 -O1 -Wall "$case.cpp" "$out/rig.o" -o "$out/$case"
done
