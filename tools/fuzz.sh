#!/usr/bin/env bash
# fuzz.sh [SECONDS]: runs the fuzzer over everything that reads bytes of others,
# from the corpus of the repository, with the sanitizers. New inputs go to
# build-fuzz/corpus; one that ends the process is named and belongs into
# tests/fuzz/corpus.
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
