#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build/review-3/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-3
c++ -std=c++20 -O2 -o build/review-3/review_case review/standin-3/*.cpp -pthread
