#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertrack/http_server.h"
#include "platform_decode.h"
#include "platform_engine_client.h"
#include "platform_store_fixture.h"

/// Entries that other software writes to the store. They name no server to use,
/// and the others must stay in force.

namespace filbertrack {
namespace {

constexpr size_t kMaxValueBytes = 1 << 20;

std::string Nested(size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

std::string Repeat(std::string_view text, size_t count) {
  std::string repeated;
  for (size_t i = 0; i < count; ++i) {
    repeated += text;
  }
  return repeated;
}

std::string WithField(const std::string& name, const std::string& value) {
  return R"({"service":"batch","state":"idle",")" + name + "\":" + value + "}";
}

/// Checks that the servers of the fixture stay in force beside the entry, on a
/// running host and on one that starts while the entry stands, and that they
/// still change. Returns why the entry was rejected.
std::string CheckOthersHold(const std::string& entry) {
  StoreFixture fixture;
  fixture.client.SetImmediate(true);
  REQUIRE(fixture.listener.servers.size() == 8);
  fixture.store.PutText("servers", "s3-foreign", entry);
  CHECK(RunUntil(fixture.loop, [&fixture] {
    return fixture.listener.unreadable.contains("s3-foreign");
  }));
  fixture.store.Remove("servers", "s0");
  CHECK(RunUntil(fixture.loop,
                 [&fixture] { return fixture.listener.servers.size() == 7; }));
  CHECK(fixture.listener.lost == 0);

  RecordingListener started;
  platform::PlatformStore client(fixture.loop, fixture.store.address(), {},
                                 started, 2);
  client.SetWatching(true);
  CHECK(RunUntil(fixture.loop, [&started] { return started.listings > 0; }));
  CHECK(started.servers == fixture.listener.servers);
  CHECK(started.unreadable.contains("s3-foreign"));
  return started.reasons["s3-foreign"];
}

TEST_CASE("a deeply nested entry of the store does not terminate the process") {
  // Parsing does not recurse, but copying or writing the value did, and
  // overflowed the stack of every entry host at once, again at each start.
  for (const size_t levels : {65, 10000, 300000}) {
    CAPTURE(levels);
    CHECK(CheckOthersHold(WithField("staged", Nested(levels))) ==
          "nested more than 64 levels deep");
  }
  CHECK(CheckOthersHold(WithField("staged", Repeat(R"({"a":)", 100000) + "1" +
                                                std::string(100000, '}'))) ==
        "nested more than 64 levels deep");
}

/// Entries that are not valid JSON or do not describe a server.
std::vector<std::string> InvalidEntries() {
  const std::string zeros = "0" + Repeat(",0", 500000);
  std::vector<std::string> entries;
  for (const std::string& value : std::vector<std::string>{
           R"("nightly \ud83d")",
           R"("\udc00")",
           R"("\u00")",
           R"("\x")",
           "\"\xFF\"",
           "\"\xF0\x9F\x98\"",
           "\"\x01\"",
           "1e999",
           "-1e999",
           "01",
           "+1",
           "nul",
           "{\"a\"}",
           "[1,,2]",
           Nested(70),
           Nested(500000),
           "[" + zeros + "]",
           R"({"a":[)" + zeros + "]}",
           "\"" + std::string(kMaxValueBytes - 100, 'x') + "\"",
           "\"" + Repeat("\\u0041", 170000) + "\"",
           "[" + Repeat("[],", 300000) + "[]]"}) {
    entries.push_back(WithField("staged", value));
    entries.push_back(WithField("version", value));
  }
  for (const char* entry :
       {"null", "3", "\"text\"", "[]", "{}", "-", "\"\\ud83d\""}) {
    entries.emplace_back(entry);
  }
  return entries;
}

TEST_CASE("an entry that cannot be read hides no others") {
  // Guards against a listing that fails as a whole: no entry host became ready
  // any more, and running ones learned of no server that left.
  for (const std::string& entry : InvalidEntries()) {
    CAPTURE(entry.substr(0, 60));
    CHECK(CheckOthersHold(entry).size() < 500);
  }
}

/// Registrations that are sound but for one field.
std::vector<std::string> OddRegistrations() {
  std::vector<std::string> addresses;
  for (const std::string& port :
       {std::string("70000"), std::string("65536"), std::string("-1"),
        std::string("0"), std::string(), std::string("18446744073709551617"),
        std::string("99999999999999999999999"), std::string("8e3"),
        std::string("0x50"), std::string(" 80"), std::string("80 "),
        std::string(300000, '9')}) {
    addresses.push_back("127.0.0.1:" + port);
  }
  for (const char* address :
       {"", ":", "127.0.0.1", "localhost:80", "[::1]:80", "0.0.0.0:80",
        "224.0.0.1:80", "255.255.255.255:80", "127.1:80", "1.2.3.4.5:80"}) {
    addresses.emplace_back(address);
  }
  std::vector<std::string> entries;
  for (const std::string& address : addresses) {
    Json spec = MakePlainSpec();
    spec["address"] = address;
    entries.push_back(spec.dump());
  }
  for (const char* field : {"slots", "coldRemainingMs", "seq", "born"}) {
    for (const std::string& number :
         {std::string(900000, '9'), "1e" + std::string(400000, '9'),
          "1" + std::string(900000, '0') + ".5", std::string("1e308"),
          std::string("-1"), std::string("-1e308"), std::string("\"1\"")}) {
      Json spec = MakePlainSpec();
      spec[field] = "@";
      std::string text = spec.dump();
      entries.push_back(text.replace(text.find("\"@\""), 3, number));
    }
  }
  for (const char* field : {"epoch", "rank"}) {
    for (const char* number :
         {"18446744073709551616", "1e308", "-1", "0.5", "\"1\""}) {
      Json spec = MakePlainSpec();
      spec["group"] = {
          {"name", "g"}, {"epoch", 1}, {"rank", 0}, {"state", "open"}};
      spec["group"][field] = "@";
      std::string text = spec.dump();
      entries.push_back(text.replace(text.find("\"@\""), 3, number));
    }
  }
  return entries;
}

TEST_CASE("a registration with an odd address or number hides no others") {
  // Guards against hosts that end, stop following the list, or send requests to
  // an address that no server can have.
  for (const std::string& entry : OddRegistrations()) {
    CAPTURE(entry.substr(0, 120));
    CHECK(CheckOthersHold(entry).size() < 500);
  }
}

TEST_CASE("entries that cannot be read hide no change beside them") {
  StoreFixture fixture;
  const std::vector<std::string> entries = InvalidEntries();
  // Changes that arrive in one response of the watch.
  fixture.store.faults().refuse_with = 503;
  fixture.store.Compact();
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.listener.lost == 1; }));
  Json leaving = MakePlainSpec();
  leaving["state"] = "draining";
  for (size_t i = 0; i < entries.size(); ++i) {
    fixture.store.PutText("servers", "foreign-" + std::to_string(i),
                          entries[i]);
  }
  fixture.store.faults().refuse_with = 0;
  CHECK(RunUntil(fixture.loop, [&] {
    return fixture.listener.unreadable.size() == entries.size();
  }));
  CHECK(fixture.listener.servers.size() == 8);
  // A few hundred bytes for each, whatever its length.
  CHECK(fixture.listener.forwarded_bytes < 100000);
  for (const std::string& entry : entries) {
    fixture.store.PutText("servers", "foreign-0", entry);
  }
  fixture.store.Put("servers", "s1", leaving);
  fixture.store.Remove("servers", "s0");
  CHECK(RunUntil(fixture.loop,
                 [&] { return !fixture.listener.servers.contains("s0"); }));
  CHECK(fixture.listener.servers.size() == 7);
}

TEST_CASE("of a valid registration, only the fields in use are kept") {
  StoreFixture fixture;
  const size_t before = fixture.listener.forwarded_bytes;
  Json spec = MakePlainSpec();
  spec["version"] = std::string(kMaxValueBytes - 1000, 'x');
  spec["service"] = "batch";
  fixture.store.Put("servers", "long", spec);
  CHECK(RunUntil(fixture.loop,
                 [&] { return fixture.listener.servers.contains("long"); }));
  CHECK(fixture.listener.forwarded_bytes - before < 1000);
  spec["domain"] = std::string(kMaxValueBytes - 1000, 'x');
  fixture.store.Put("servers", "too-long", spec);
  CHECK(RunUntil(fixture.loop, [&] {
    return fixture.listener.unreadable.contains("too-long");
  }));
}

TEST_CASE("objects with any name are read, also at the end of a page") {
  // The page size is 3, and the name of the last object is part of the request
  // for the next page.
  StoreFixture fixture;
  for (const std::string& name :
       {std::string("s0 &after=x"), std::string("s1%?#\r\nX: y"),
        std::string("s2-\"\\"), "s3-" + std::string(100000, 'x')}) {
    fixture.store.Put("servers", name, MakePlainSpec());
  }
  RecordingListener started;
  platform::PlatformStore client(fixture.loop, fixture.store.address(), {},
                                 started, 2);
  client.SetWatching(true);
  CHECK(RunUntil(fixture.loop, [&started] { return started.listings > 0; }));
  CHECK(started.servers.size() == 11);
  CHECK(started.servers.contains("s7"));
}

TEST_CASE("a deeply nested value is rejected in every kind of object") {
  StoreFixture fixture;
  const std::string deep = WithField("version", Nested(300000));
  fixture.store.PutText("config", "main", deep);
  fixture.store.PutText("config", "other", deep);
  fixture.store.PutText("filbertrack-records", "host-a", deep);
  fixture.store.Put("filbertrack-records", "host-b", "value");
  std::vector<std::string> values;
  fixture.client.ReadAll("host-", [&values](StoreStatus, const auto& records) {
    for (const StoredObject& record : records) {
      values.push_back(record.value);
    }
  });
  StoreStatus status = StoreStatus::kOk;
  fixture.client.Read("host-a", [&status](const StoreResponse& response) {
    status = response.status;
  });
  REQUIRE(RunUntil(fixture.loop, [&values] { return values.size() == 2; }));
  CHECK(values == std::vector<std::string>{"", "value"});
  REQUIRE(RunUntil(fixture.loop,
                   [&status] { return status == StoreStatus::kUnavailable; }));
  fixture.store.Put("config", "main", MakeConfig(2));
  CHECK(RunUntil(fixture.loop, [&fixture] {
    return fixture.listener.versions == std::vector<uint64_t>{1, 2};
  }));
}

TEST_CASE("a registration that a peer forwards is checked as a stored one") {
  // Hosts of earlier versions forward the text as it is stored.
  const platform::PlatformDecoder decoder;
  CHECK_FALSE(decoder.ReadServer("i", WithField("staged", Nested(300000))));
  CHECK_FALSE(decoder.ReadCatalog(Nested(300000)));
  const auto sound = decoder.ReadServer("i", MakePlainSpec().dump());
  REQUIRE(sound);
  CHECK(decoder.ReadServer("i", sound->text)->server == sound->server);
  const auto rejected =
      decoder.ReadServer("i", decoder.FormatUnreadable("a reason"));
  REQUIRE_FALSE(rejected);
  CHECK(rejected.error().message == "a reason");
}

TEST_CASE("a deeply nested report of a server does not terminate the process") {
  EventLoop loop;
  std::string body;
  HttpServer server(loop, {}, [&body](const auto& exchange) {
    exchange->Reply(200, {}, body);
  });
  BackendServer host;
  host.id = "i";
  host.address = server.Listen({"127.0.0.1", 0}).value();
  platform::PlatformEngineClient client(loop, "");
  for (const std::string& report :
       {R"({"running":)" + Nested(20000) + "}",
        R"({"running":)" + Nested(300000) + "}",
        "[" + std::string(kMaxValueBytes, ' ') + "]", std::string("\xFF"),
        std::string(R"({"running":1e999})")}) {
    body = report;
    std::optional<ProbeAnswer> answer;
    client.Probe(host, Seconds(2),
                 [&answer](const ProbeAnswer& probe) { answer = probe; });
    REQUIRE(RunUntil(loop, [&answer] { return answer.has_value(); }));
    // It shows that the host is running, whatever it contains.
    CHECK(answer->answered);
    CHECK(answer->running == 0);
  }
}

}  // namespace
}  // namespace filbertrack
