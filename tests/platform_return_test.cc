#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "filbertrack/entry_host.h"
#include "platform_engine_client.h"
#include "platform_header_codec.h"

/// What an entry host makes of the store's return, and of entries that cannot
/// be read, without sockets.

namespace filbertrack {
namespace {

ServerChanges MakeRegistration(const std::string& id, uint64_t revision) {
  BackendServer server;
  server.id = id;
  server.service = "plain";
  ServerChanges changes;
  changes.revision = revision;
  changes.changed.push_back({server, revision, "text of " + id});
  return changes;
}

struct HostFixture {
  HostFixture()
      : settings(*EntrySchema().ParseText("[node]\nname = e1\ndata_centre = z\n"
                                          "[store]\naddress = 127.0.0.1:9\n",
                                          "test.ini")),
        engines(loop),
        host(loop, settings, header_codec, engines) {
    host.OnServers(MakeRegistration("s1", 10));
  }

  EventLoop loop;
  platform::PlatformHeaderCodec header_codec;
  Settings settings;
  platform::PlatformEngineClient engines;
  EntryHost host;
};

TEST_CASE("a host tells its peers when the store comes back after an outage") {
  // Registrations that lapsed meanwhile are kept for 2.5 s by all that hear it.
  HostFixture site;
  site.host.OnStoreLost();
  site.host.OnStoreReturned();
  CHECK(site.host.OwnGossipState().store_back_for.has_value());
}

TEST_CASE("a host that was cut off alone tells of no return of the store") {
  // One host is cut off from the store and hears from its peers what changes
  // there. When it reaches the store again it tells them that the store is
  // back. A server that leaves without a word at that moment is taken for one
  // whose registration lapsed, and is sent requests for 2.5 s; it may end after
  // 2 s.
  HostFixture site;
  site.host.OnStoreLost();
  site.host.OnServers(MakeRegistration("s2", 400));
  site.host.OnStoreReturned();
  CHECK_FALSE(site.host.OwnGossipState().store_back_for.has_value());
}

TEST_CASE(
    "an entry that turns unreadable takes its server out, also for peers") {
  // Another writer puts something else in the place of a server's entry. No
  // request goes there any more; peers are passed the text as it stands, and
  // judge it by themselves. The server is back with its next own entry.
  HostFixture site;
  ServerChanges invalid;
  invalid.revision = 20;
  invalid.unreadable.push_back({"s1", 20, "banana", "no service"});
  site.host.OnServers(invalid);
  CHECK(site.host.directory().Find("s1") == nullptr);
  const auto logged = site.host.server_log().Since(10);
  REQUIRE(logged);
  REQUIRE(logged->size() == 1);
  CHECK(logged->front().text == "banana");
  // An older word of it changes nothing.
  site.host.OnServers(MakeRegistration("s1", 15));
  CHECK(site.host.directory().Find("s1") == nullptr);
  site.host.OnServers(MakeRegistration("s1", 30));
  CHECK(site.host.directory().Find("s1") != nullptr);
}

}  // namespace
}  // namespace filbertrack
