#!/usr/bin/env bash
# Fuzzes the parsers of untrusted input with the address and undefined behaviour
# sanitizers, starting from tests/fuzz/corpus. New inputs go to
# build-fuzz/corpus. The path of an input that crashes the process is printed; add
# that file to tests/fuzz/corpus.
#   fuzz.sh [SECONDS]
set -eu
cd "$(dirname "$0")/.."
seconds=${1:-120}
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends clang >/dev/null
CC=clang CXX=clang++ cmake -S . -B build-fuzz -G Ninja -DFILBERTRACK_FUZZ=ON \
  -DCMAKE_CXX_FLAGS="-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined" \
  -DFILBERTRACK_WERROR=OFF >/dev/null
cmake --build build-fuzz --target fuzz_untrusted
mkdir -p build-fuzz/corpus
exec build-fuzz/tests/fuzz/fuzz_untrusted -max_total_time="$seconds" \
  -max_len=4096 -artifact_prefix=build-fuzz/ build-fuzz/corpus tests/fuzz/corpus
