#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review 2 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-2/cases \
  review/rig-2/cases.cc
