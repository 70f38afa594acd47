#!/usr/bin/env bash
# Runs clang-tidy over the sources, one process per processor, with the compile
# commands of build/. Fails if there is any finding.
set -eu
cd "$(dirname "$0")/.."
git ls-files 'source/*.cc' 'platform/*.cc' 'standins/*.cc' 'soak/*.cc' |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build 2>/dev/null
