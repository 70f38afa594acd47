#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "platform_config.h"
#include "platform_decode.h"
#include "platform_store.h"
#include "platform_store_standin.h"
#include "run_until.h"

namespace filbertrack {
namespace {

TEST_CASE("a configuration is read whole, or refused with a reason") {
  const auto catalog = platform::DecodeCatalog(MakeConfig(7));
  REQUIRE(catalog);
  CHECK(catalog->version() == 7);
  const Route* route = catalog->FindRoute("h.example", "/s/x");
  REQUIRE(route != nullptr);
  CHECK(route->repeat == RepeatRule::kResumable);
  CHECK(route->timeout == Seconds(8));
  CHECK(catalog->FindService("llm")->engine->models[0].members == 2);
  CHECK(catalog->FindWorkspace("key")->name == "w");

  Json unknown_kind = MakeConfig(7);
  unknown_kind["routes"][0]["kind"] = "sometimes";
  const auto refused = platform::DecodeCatalog(unknown_kind);
  REQUIRE(!refused);
  CHECK(refused.error().message.find("sometimes") != std::string::npos);

  Json wrong_type = MakeConfig(7);
  wrong_type["routes"][0]["timeoutMs"] = "soon";
  CHECK(!platform::DecodeCatalog(wrong_type));
  CHECK(!platform::DecodeCatalog(Json("nothing")));
}

TEST_CASE("nonsense from the platform is an error and never more") {
  REQUIRE(rc::check("any value in any place", [] {
    Json config = MakeConfig(1);
    const Json flat = config.flatten();
    auto it = flat.begin();
    std::advance(it, *rc::gen::inRange<size_t>(0, flat.size()));
    const Json values = Json::array(
        {nullptr, -1, 1e300, "text", Json::array(), Json::object(), true});
    config[Json::json_pointer(it.key())] =
        values[*rc::gen::inRange<size_t>(0, values.size())];
    const auto catalog = platform::DecodeCatalog(config);
    RC_ASSERT(catalog || !catalog.error().message.empty());
  }));
}

TEST_CASE("a registration with a group, and one that cannot be read") {
  const Json spec = {
      {"service", "llm"},
      {"address", "10.0.0.1:80"},
      {"zone", "z"},
      {"state", "draining"},
      {"slots", 17},
      {"domain", "d1"},
      {"staged", {"m"}},
      {"models", {{{"name", "m"}, {"version", 1}}}},
      {"group",
       {{"name", "m/1"}, {"epoch", 1}, {"rank", 0}, {"state", "open"}}}};
  const auto server = platform::DecodeServer("i-1", spec);
  REQUIRE(server);
  CHECK(server->draining);
  CHECK(server->membership->state == MembershipState::kOpen);
  CHECK(server->staged == std::vector<std::string>{"m"});
  Json broken = spec;
  broken["group"]["state"] = "sleepy";
  CHECK(!platform::DecodeServer("i-1", broken));
  broken = spec;
  broken["address"] = "nowhere";
  CHECK(!platform::DecodeServer("i-1", broken));
}

/// Notes what the store client tells.
struct Listener : SiteListener {
  void OnCatalog(std::shared_ptr<const Catalog> catalog, std::string) override {
    versions.push_back(catalog->version());
  }
  void OnServers(ServerChanges changes) override {
    if (changes.whole) {
      ++listings;
      servers.clear();
    }
    for (const Registration& registration : changes.changed) {
      servers.insert(registration.server.id);
    }
    for (const RemovedServer& removed : changes.removed) {
      servers.erase(removed.id);
    }
  }
  void OnStoreLost() override { ++lost; }
  void OnStoreReturned() override { ++returned; }

  std::vector<uint64_t> versions;
  std::set<std::string> servers;
  int listings = 0;
  int lost = 0;
  int returned = 0;
};

Json MakePlainSpec() {
  return {{"service", "plain"}, {"address", "127.0.0.1:9"}, {"slots", 4}};
}

TEST_CASE(
    "a host that starts while the store is away reads it again by itself") {
  // All entry hosts lost power while the store was away. None has a
  // configuration to tell the others, and callers are refused until one reads
  // it. Without further tries that waited for the choice of who watches.
  EventLoop loop;
  PlatformStoreStandin store(loop, 3);
  store.Put("config", "main", MakeConfig(1));
  store.Put("servers", "s0", MakePlainSpec());
  store.faults().refuse_with = 503;
  Listener listener;
  platform::PlatformStore client(loop, store.address(), {}, listener, 1);
  client.ReadOnce();
  REQUIRE(RunUntil(loop, [&store] { return store.calls() >= 4; }));
  CHECK(listener.versions.empty());
  store.faults().refuse_with = 0;
  CHECK(RunUntil(loop, [&listener] {
    return listener.versions == std::vector<uint64_t>{1} &&
           listener.servers.size() == 1;
  }));
  // It does not watch: nothing follows the first reading.
  CHECK(store.watches() == 0);
}

struct StoreFixture {
  StoreFixture()
      : store(loop, 3), client(loop, store.address(), {}, listener, 1) {
    store.Put("config", "main", MakeConfig(1));
    for (int i = 0; i < 8; ++i) {
      store.Put("servers", "s" + std::to_string(i), MakePlainSpec());
    }
    client.SetWatching(true);
    RunUntil(loop, [this] { return listener.servers.size() == 8; });
  }

  EventLoop loop;
  Listener listener;
  PlatformStoreStandin store;
  platform::PlatformStore client;
};

TEST_CASE("a listing in pages, then changes and removals as they come") {
  StoreFixture fixture;
  CHECK(fixture.listener.servers.size() == 8);
  fixture.store.Put("servers", "new", MakePlainSpec());
  fixture.store.Remove("servers", "s0");
  fixture.store.Put("config", "main", MakeConfig(2));
  CHECK(RunUntil(fixture.loop, [&] {
    return fixture.listener.servers.contains("new") &&
           !fixture.listener.servers.contains("s0") &&
           fixture.listener.versions.back() == 2;
  }));
  CHECK(fixture.listener.listings == 1);
}

TEST_CASE("the store drops its history: what was missed shows in a listing") {
  // A configuration and a removal come while the watch is cut. The client must
  // not wait for events that will never be told.
  StoreFixture fixture;
  fixture.store.faults().refuse_with = 503;
  fixture.store.Compact();
  fixture.store.Remove("servers", "s1");
  fixture.store.Put("config", "main", MakeConfig(5));
  fixture.store.Compact();
  CHECK(RunUntil(fixture.loop, [&] { return fixture.listener.lost == 1; }));
  fixture.store.faults().refuse_with = 0;
  CHECK(RunUntil(fixture.loop, [&] {
    return fixture.listener.versions.back() == 5 &&
           !fixture.listener.servers.contains("s1");
  }));
  CHECK(RunUntil(fixture.loop, [&] { return fixture.listener.returned == 1; }));
}

TEST_CASE("a store that refuses is not asked again at once") {
  // Twenty calls in a second by every host would use up the rate that all
  // share. Pauses double up to a second.
  StoreFixture fixture;
  fixture.store.faults().refuse_with = 429;
  fixture.store.Compact();
  const uint64_t before = fixture.store.calls();
  bool over = false;
  const auto timer = fixture.loop.After(Seconds(2), [&over] { over = true; });
  RunUntil(fixture.loop, [&over] { return over; });
  CHECK(fixture.store.calls() - before <= 24);
}

TEST_CASE("a write whose answer is lost shows as a conflict with itself") {
  StoreFixture fixture;
  fixture.store.faults().lost_writes = 1;
  std::optional<StoreAnswer> first;
  fixture.client.Write("r", "mine", 0,
                       [&](const StoreAnswer& answer) { first = answer; });
  REQUIRE(RunUntil(fixture.loop, [&] { return first.has_value(); }));
  CHECK(first->status == StoreStatus::kUnavailable);
  std::optional<StoreAnswer> second;
  fixture.client.Write("r", "mine", 0,
                       [&](const StoreAnswer& answer) { second = answer; });
  REQUIRE(RunUntil(fixture.loop, [&] { return second.has_value(); }));
  CHECK(second->status == StoreStatus::kConflict);
  CHECK(second->object.value == "mine");
}

TEST_CASE("a host that stops watching makes no more calls") {
  StoreFixture fixture;
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.store.watches() == 2; }));
  fixture.client.SetWatching(false);
  const uint64_t before = fixture.store.calls();
  bool over = false;
  const auto timer =
      fixture.loop.After(Milliseconds(300), [&over] { over = true; });
  RunUntil(fixture.loop, [&over] { return over; });
  CHECK(fixture.store.calls() == before);
}

}  // namespace
}  // namespace filbertrack
