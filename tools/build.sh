#!/usr/bin/env bash
# build.sh FOLDER [cmake options]: configures and builds into FOLDER.
set -eu
cd "$(dirname "$0")/.."
folder=$1
shift
cmake -S . -B "$folder" -G Ninja "$@" >"$folder-configure.log" 2>&1 || {
  cat "$folder-configure.log"
  exit 1
}
rm -f "$folder-configure.log"
cmake --build "$folder"
