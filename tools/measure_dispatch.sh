#!/usr/bin/env bash
# measure_dispatch.sh: what a choice of a target, a refresh of all targets and a
# pass of the planner cost with 60, 600 and 3,300 hosts.
set -eu
cd "$(dirname "$0")/.."
bash tools/build.sh build-release -DCMAKE_BUILD_TYPE=Release >/dev/null
./build-release/tests/dispatch_cost
