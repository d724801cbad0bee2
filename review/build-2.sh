#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/standin-2/bin
g++ -std=c++20 -O1 -pthread -o review/standin-2/bin/standin review/standin-2/*.cpp
