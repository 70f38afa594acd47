#!/usr/bin/env bash
# Runs clang-tidy over the sources of build/compile_commands.json, several at a
# time, and fails on any finding.
set -eu
cd "$(dirname "$0")/.."
git ls-files 'source/*.cc' 'platform/*.cc' 'standins/*.cc' 'soak/*.cc' |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build 2>/dev/null
