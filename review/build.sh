#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. They use the
# C++ standard library and POSIX only. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in freeze settings odd; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    review/standin/rig.cpp review/standin/ends.cpp \
    "review/standin/$program.cpp" -o "target/review/$program"
done
