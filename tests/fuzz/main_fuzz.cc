/// The entry point that libFuzzer calls: tools/fuzz.sh.

#include <cstddef>
#include <cstdint>

#include "fuzz_untrusted.h"

// The name is the library's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  filbertrack::FuzzUntrusted({reinterpret_cast<const char*>(data), size});
  return 0;
}
