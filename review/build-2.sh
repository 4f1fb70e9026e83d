#!/bin/sh
# Builds the programs that the scripts of review/6 to review/10 start, into
# target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    if [ -e "review/$number/case.cpp" ]; then
        g++ -std=c++20 -O1 -pthread \
            -o "target/review-2/case$number" \
            "review/$number/case.cpp" review/rig/rig.cpp
    fi
done
