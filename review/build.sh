#!/bin/bash
# Builds the stand-ins and the cases' drivers into review/build. Needs only the compiler and
# rapidjson, which the deploy file's packages include.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c standins/site.cpp -o build/site.o
for folder in [0-9]*/; do
  n=${folder%/}
  g++ "${flags[@]}" -I standins "$n/case.cpp" build/site.o -o "build/case-$n"
done
