#!/bin/sh
# Builds the stand-ins that the scripts of this review start, into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread "$source" -o "target/review/case-$number" &
    jobs="$jobs $!"
done
for job in $jobs; do
    wait "$job"
done
