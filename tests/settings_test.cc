#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "filbertrack/settings.h"

namespace filbertrack {
namespace {

SettingsSchema Schema() {
  return SettingsSchema({
      {"a", "count", IntegerKey{3, 1, 9}, "A count."},
      {"a", "wait", DurationKey{Seconds(1), Milliseconds(10), Seconds(60)},
       "A wait."},
      {"a", "name", TextKey{"", true, {}}, "A name."},
      {"a", "listen", AddressKey{"127.0.0.1:1"}, "An address."},
      {"a", "seeds", AddressListKey{}, "Addresses."},
  });
}

TEST_CASE("values from the file and defaults for the other keys") {
  const auto settings =
      Schema().ParseText("[a]\nname = n\nwait = 250ms\n", "f.ini");
  REQUIRE(settings);
  CHECK(settings->Time("a", "wait") == Milliseconds(250));
  CHECK(settings->Integer("a", "count") == 3);
  CHECK(settings->At("a", "listen").port == 1);
}

TEST_CASE("a long list of addresses is read completely") {
  // Guards against a parser with a line limit: one that split lines at 200
  // bytes rejected the settings of an operator's command with twelve entry
  // hosts.
  std::string text = "[a]\nname = n\nseeds = ";
  for (int i = 0; i < 400; ++i) {
    text += (i == 0 ? "" : ",") + std::string("127.0.0.1:") +
            std::to_string(10000 + i);
  }
  const auto settings = Schema().ParseText(text + "\n", "f.ini");
  REQUIRE(settings);
  CHECK(settings->Addresses("a", "seeds").size() == 400);
}

TEST_CASE("each error names file, section, key, value and allowed values") {
  struct InvalidFile {
    const char* text;
    std::vector<std::string> expected;
  };
  const std::vector<InvalidFile> files = {
      {"[a]\nname=n\ncount = 10\n", {"f.ini", "[a]", "count", "10", "1 to 9"}},
      {"[a]\nname=n\nwait = 5\n", {"wait", "'5'", "unit"}},
      {"[a]\nname=n\nwait = 2m\n", {"wait", "2m", "60s"}},
      {"[a]\nname=n\nlisten = here\n", {"listen", "here", "IP address"}},
      {"[a]\nname=n\ncolour = red\n", {"unknown", "colour"}},
      {"[b]\nname=n\n", {"name"}},
      {"[a]\ncount = 2\n", {"lacks", "name"}},
      {"[a]\nthis is no line\n", {"Line 2"}},
  };
  for (const InvalidFile& file : files) {
    const auto settings = Schema().ParseText(file.text, "f.ini");
    REQUIRE(!settings);
    CHECK(settings.error().code == ResultCode::kSettingsInvalid);
    for (const std::string& part : file.expected) {
      CAPTURE(settings.error().message);
      CHECK(settings.error().message.find(part) != std::string::npos);
    }
  }
}

TEST_CASE("numbers and durations may have fractions") {
  const SettingsSchema schema({
      {"a", "part", NumberKey{0.5, 0, 100}, "A number."},
      {"a", "wait", DurationKey{Seconds(1), Seconds(0), Seconds(60)},
       "A time."},
  });
  const auto settings =
      schema.ParseText("[a]\npart = 49.230769\nwait = 1500.5ms\n", "f.ini");
  REQUIRE(settings);
  CHECK(settings->Number("a", "part") == doctest::Approx(49.230769));
  CHECK(settings->Time("a", "wait") == Duration(1500500));
  CHECK_FALSE(schema.ParseText("[a]\npart = nan\n", "f.ini"));
  CHECK_FALSE(schema.ParseText("[a]\npart = 101\n", "f.ini"));
  CHECK_FALSE(schema.ParseText("[a]\nwait = 1.2.3s\n", "f.ini"));
}

TEST_CASE("property: no input crashes the settings parser") {
  REQUIRE(rc::check("ini", [] {
    const auto text = *rc::gen::container<std::string>(rc::gen::elementOf(
        std::string("[]a=countwaitlisten0123456789ms:.\n \xff;#")));
    const auto settings = Schema().ParseText(text, "f.ini");
    const bool is_valid =
        settings.has_value() || !settings.error().message.empty();
    RC_ASSERT(is_valid);
  }));
}

}  // namespace
}  // namespace filbertrack
