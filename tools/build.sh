#!/usr/bin/env bash
# Configures and builds the project in a build directory; prints the configure
# log only on failure.
#   build.sh BUILD-DIR [CMAKE-OPTION...]
set -eu
cd "$(dirname "$0")/.."
build_dir=$1
shift
cmake -S . -B "$build_dir" -G Ninja "$@" >"$build_dir-configure.log" 2>&1 || {
  cat "$build_dir-configure.log"
  exit 1
}
rm -f "$build_dir-configure.log"
cmake --build "$build_dir"
