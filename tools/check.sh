#!/usr/bin/env bash
# Installs, builds with warnings as errors, checks format and lint, and runs
# every test. Ends with ctest's closing lines and the exit code that goes with
# them.
set -eu
cd "$(dirname "$0")/.."
bash tools/install.sh
bash tools/build.sh build -DFILBERTRACK_WERROR=ON
mapfile -t files < <(git ls-files '*.cc' '*.h')
clang-format --dry-run --Werror "${files[@]}"
bash tools/check_layers.sh
bash tools/lint.sh
ctest --test-dir build --output-on-failure
