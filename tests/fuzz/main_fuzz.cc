/// The entry point for libFuzzer. tools/fuzz.sh builds and runs it.

#include <cstddef>
#include <cstdint>

#include "fuzz_untrusted.h"

// libFuzzer prescribes the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  filbertrack::FuzzUntrusted({reinterpret_cast<const char*>(data), size});
  return 0;
}
