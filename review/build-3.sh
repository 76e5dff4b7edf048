#!/bin/sh
# Builds the stand-ins of the third review into review/standin-3/bin.
set -e
cd "$(dirname "$0")/standin-3"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -c rig.cpp -o bin/rig.o
for source in *.cpp; do
  name="${source%.cpp}"
  if [ "$name" != rig ]; then
    g++ -std=c++20 -O1 -Wall "$source" bin/rig.o -o "bin/$name"
  fi
done
