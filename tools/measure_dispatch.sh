#!/usr/bin/env bash
# Measures the processor time of choosing a target, of replacing all targets and
# of one pass of the planner with 60, 600 and 3,300 hosts, in a release build.
set -eu
cd "$(dirname "$0")/.."
bash tools/build.sh build-release -DCMAKE_BUILD_TYPE=Release >/dev/null
./build-release/tests/dispatch_cost
