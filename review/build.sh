#!/bin/sh
# Builds the programs that the scripts of the review start, into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for number in 1 2 3 4 5; do
    if [ -e "review/$number/case.cpp" ]; then
        g++ -std=c++20 -O1 -pthread -o "target/review/case$number" \
            "review/$number/case.cpp" review/standin/standin.cpp
    fi
done
