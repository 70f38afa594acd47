#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "filbertrack/entry_host.h"
#include "platform_engine_client.h"
#include "platform_header_codec.h"

/// Tests how an entry host handles the end of a store outage and invalid
/// registrations, without sockets.

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

ServerChanges MakeRemoval(const std::string& id, uint64_t revision) {
  ServerChanges changes;
  changes.revision = revision;
  changes.removed.push_back({id, revision});
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

TEST_CASE(
    "a host tells its peers that the store has returned after an outage") {
  // Entry hosts that learn of the return keep the registrations that expired
  // during the outage for another 2.5 s.
  HostFixture site;
  site.host.OnStoreLost(Seconds(5));
  site.host.OnStoreReturned();
  CHECK(site.host.OwnGossipState().store_back_for.has_value());
}

TEST_CASE("servers that lapsed are kept before all watches work again") {
  // Guards against live servers that are dropped after an outage, since the
  // listing of servers is answered before that of the configuration.
  HostFixture site;
  site.host.OnStoreLost(Seconds(5));
  site.host.OnStoreAnswered();
  site.host.OnServers(MakeRemoval("s1", 20));
  CHECK(site.host.directory().Find("s1") != nullptr);
  site.host.OnStoreReturned();
  CHECK(site.host.directory().Find("s1") != nullptr);
  CHECK(site.host.OwnGossipState().store_back_for.has_value());
}

TEST_CASE("servers that left are dropped once the outage is disproved") {
  // Guards against a host that stood still, or alone lost the store, and keeps
  // servers that left since it takes that for an outage for all.
  HostFixture site;
  site.host.OnStoreLost(Seconds(5));
  site.host.OnStoreAnswered();
  site.host.OnServers(MakeRemoval("s1", 20));
  CHECK(site.host.directory().Find("s1") != nullptr);
  const TimePoint now = MonotonicNow();
  site.host.OnPeerStoreService({now - Seconds(30), now});
  CHECK(site.host.directory().Find("s1") == nullptr);
  CHECK_FALSE(site.host.OwnGossipState().store_back_for.has_value());
}

TEST_CASE("a watch that breaks off and is back at once is no store outage") {
  // Guards against all hosts that keep sending requests to servers that left,
  // for longer than these serve, since one connection of one host was reset.
  HostFixture site;
  site.host.OnStoreLost(Duration(0));
  site.host.OnStoreReturned();
  CHECK_FALSE(site.host.OwnGossipState().store_back_for.has_value());
  site.host.OnServers(MakeRemoval("s1", 20));
  CHECK(site.host.directory().Find("s1") == nullptr);
}

TEST_CASE("a host that alone lost the store does not announce its return") {
  // Only this host loses its connection to the store; updates from peers show
  // that the store is available. If the host announced the return of the store,
  // its peers would mistake a server that leaves at that moment for one whose
  // registration expired in an outage. They would send it requests for 2.5 s,
  // but it may terminate after 2 s.
  HostFixture site;
  site.host.OnStoreLost(Seconds(5));
  site.host.OnServers(MakeRegistration("s2", 400));
  site.host.OnStoreReturned();
  CHECK_FALSE(site.host.OwnGossipState().store_back_for.has_value());
}

TEST_CASE(
    "a registration that becomes invalid removes the server, also for peers") {
  // Other software overwrites the registration of a server. The server must not
  // get any more requests until it registers again. Peers receive the text
  // unchanged and validate it themselves.
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
  // An older registration is ignored.
  site.host.OnServers(MakeRegistration("s1", 15));
  CHECK(site.host.directory().Find("s1") == nullptr);
  site.host.OnServers(MakeRegistration("s1", 30));
  CHECK(site.host.directory().Find("s1") != nullptr);
}

}  // namespace
}  // namespace filbertrack
