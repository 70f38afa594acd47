#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "filbertrack/peer_frame.h"
#include "filbertrack/peer_message.h"

namespace filbertrack {
namespace {

TEST_CASE("frames are accepted in order, once, on their own connection only") {
  // Guards against accepting replayed or forged messages.
  FrameSealer out("key", "ask n1 n2");
  const std::string first = out.Seal("one");
  const std::string second = out.Seal("two");
  FrameSealer in("key", "ask n1 n2");
  CHECK(!in.Open(second));
  REQUIRE(in.Open(first));
  CHECK(!in.Open(first));
  CHECK(*in.Open(second) == "two");
  CHECK(!FrameSealer("key", "ask n1 n3").Open(first));
  CHECK(!FrameSealer("key", "answer n1 n2").Open(first));
  CHECK(!FrameSealer("kez", "ask n1 n2").Open(first));
  CHECK(!FrameSealer("key", "ask n1 n2").Open("short"));
}

TEST_CASE(
    "a message of another protocol version is rejected with the version") {
  const std::string bytes = EncodePeerMessage(KeyedReply{{"v"}});
  CHECK(DecodePeerMessage(bytes));
  std::string other = bytes;
  other[2] = 2;  // The version is the second element of the array.
  const auto message = DecodePeerMessage(other);
  REQUIRE(!message);
  CHECK(message.error().message.find("version 1") != std::string::npos);
}

TEST_CASE("a message that declares an impossible size is rejected") {
  // nlohmann::json throws for such sizes even with exceptions disabled. If the
  // exception is not caught, the process ends and all its requests fail.
  const std::string bytes = "\x9b\x61\x62\x63\x64\x65\x66\x67\x69";
  CHECK(!DecodePeerMessage(bytes));
}

TEST_CASE("ages are rounded up, never down") {
  CHECK(PackAge(Milliseconds(1), Milliseconds(20), 255) == 1);
  CHECK(PackAge(Milliseconds(20), Milliseconds(20), 255) == 1);
  CHECK(PackAge(Milliseconds(21), Milliseconds(20), 255) == 2);
  CHECK(PackAge(Seconds(100), Milliseconds(20), 127) == 127);
}

}  // namespace
}  // namespace filbertrack
