#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fstream>
#include <sstream>

#include "filbertrack/base_cbor.h"
#include "filbertrack/base_compress.h"
#include "filbertrack/base_hash.h"
#include "filbertrack/base_result.h"

namespace filbertrack {
namespace {

TEST_CASE("docs/RESULT_CODES.md matches ResultCodeTable()") {
  std::ifstream stream(FILBERTRACK_SOURCE_DIR "/docs/RESULT_CODES.md");
  REQUIRE(stream);
  std::stringstream text;
  text << stream.rdbuf();
  for (const ResultCodeRow& row : ResultCodeTable()) {
    const std::string status =
        row.http_status == 0 ? "-" : std::to_string(row.http_status);
    const std::string line = "| " + std::to_string(static_cast<int>(row.code)) +
                             " | " + std::string(row.name) + " | " + status +
                             " | " + std::string(row.meaning) + " |";
    CAPTURE(line);
    CHECK(text.str().find(line) != std::string::npos);
  }
}

TEST_CASE("hashes match published test vectors") {
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(HmacSha256("key", "").size() == 32);
  CHECK(ConstantTimeEqual("same", "same"));
  CHECK(!ConstantTimeEqual("same", "sama"));
  CHECK(!ConstantTimeEqual("same", "sam"));
  CHECK(RandomId() != RandomId());
}

TEST_CASE("malformed CBOR gives nullopt and does not terminate the process") {
  CHECK(ParseCbor(ToCbor({1, "two"})).value() == nlohmann::json({1, "two"}));
  CHECK(!ParseCbor(""));
  CHECK(!ParseCbor("\x9b\x61\x62\x63\x64\x65\x66\x67\x69"));
}

TEST_CASE("decompression restores the text and enforces its size limit") {
  REQUIRE(rc::check("any text", [](const std::string& text) {
    RC_ASSERT(Decompress(Compress(text), text.size()) == text);
  }));
  const std::string large(100000, 'x');
  const std::string compressed = Compress(large);
  CHECK(compressed.size() < 1000);
  CHECK_FALSE(Decompress(compressed, 99999));
  CHECK_FALSE(Decompress(compressed.substr(0, compressed.size() / 2), 1000000));
  CHECK_FALSE(Decompress("no compressed text", 1000));
}

}  // namespace
}  // namespace filbertrack
