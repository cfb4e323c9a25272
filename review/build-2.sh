#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -pthread "$source" -o "target/review-2/case-$number"
done
