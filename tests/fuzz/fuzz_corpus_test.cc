#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "fuzz_untrusted.h"

TEST_CASE("corpus inputs are decoded or rejected without an exception") {
  // Each corpus file covered new code in a run of tools/fuzz.sh, or once
  // crashed the process. Each is also decoded truncated at every tenth of its
  // length.
  int files = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(FILBERTRACK_FUZZ_CORPUS)) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string bytes((std::istreambuf_iterator<char>(file)),
                            std::istreambuf_iterator<char>());
    CAPTURE(entry.path().filename().string());
    for (size_t tenth = 1; tenth <= 10; ++tenth) {
      CHECK_NOTHROW(filbertrack::FuzzUntrusted(
          bytes.substr(0, bytes.size() * tenth / 10)));
    }
    ++files;
  }
  CHECK(files >= 6);
}
