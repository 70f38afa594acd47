#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "platform_store_fixture.h"
#include "soak_proxy.h"

/// Open connections to the store go silent while new ones work.

namespace filbertrack {
namespace {

/// A store client whose open connections to the store go silent.
struct SilentStore {
  SilentStore()
      : store(loop),
        proxy(loop, store.address()),
        client(loop, proxy.address(), Policy(), listener, 1) {
    store.Put("config", "main", MakeConfig(1));
    store.Put("servers", "s1", MakePlainSpec());
    store.Put("filbertrack-records", "lease", "text");
    client.SetWatching(true);
    REQUIRE(RunUntil(loop, [this] { return store.watches() == 2; }));
    // Leaves an open connection for the next call.
    bool was_read = false;
    client.Read("lease",
                [&was_read](const StoreResponse&) { was_read = true; });
    REQUIRE(RunUntil(loop, [&was_read] { return was_read; }));
    proxy.Cut("127.0.0.1", {.drops_new = false});
    store.Remove("servers", "s1");
    store.Put("config", "main", MakeConfig(2));
  }

  static platform::PlatformStorePolicy Policy() {
    platform::PlatformStorePolicy policy;
    // Long enough that no watch times out in this test.
    policy.watch_wait = Seconds(60);
    policy.silence_timeout = Milliseconds(50);
    return policy;
  }

  /// Whether the changes arrive while the lease is read regularly.
  bool Recovers() {
    const auto reads = loop.Every(Policy().silence_timeout * 2, [this] {
      client.Read("lease", [](const StoreResponse&) {});
    });
    return RunUntil(loop, [this] {
      return listener.servers.empty() && listener.versions.back() == 2;
    });
  }

  EventLoop loop;
  RecordingListener listener;
  PlatformStoreStandin store;
  soak::Proxy proxy;
  platform::PlatformStore client;
};

TEST_CASE("watches on silent connections are begun anew") {
  // Guards against requests to servers that left, and keys that were withdrawn,
  // until the watches of all hosts time out.
  SilentStore site;
  CHECK(site.Recovers());
  CHECK(site.listener.lost == 0);
}

TEST_CASE("a listing of records on a silent connection is noticed, too") {
  // Guards against watches that stay silent since the listing took the last
  // idle connection, so that all later calls use new ones and are answered.
  SilentStore site;
  site.client.ReadAll("lease", [](StoreStatus, const auto&) {});
  CHECK(site.Recovers());
  CHECK(site.listener.lost == 0);
}

TEST_CASE("a slow answer restarts no watch") {
  // Guards against a slow store that gets more calls for being slow.
  EventLoop loop;
  RecordingListener listener;
  PlatformStoreStandin store(loop);
  store.Put("config", "main", MakeConfig(1));
  platform::PlatformStorePolicy policy;
  policy.watch_wait = Seconds(60);
  policy.silence_timeout = Milliseconds(20);
  platform::PlatformStore client(loop, store.address(), policy, listener, 1);
  client.SetWatching(true);
  REQUIRE(RunUntil(loop, [&store] { return store.watches() == 2; }));
  const uint64_t watches = client.calls().watches;
  store.faults().delay = policy.silence_timeout * 4;
  int answered = 0;
  const auto reads = loop.Every(policy.silence_timeout * 2, [&] {
    client.Read("lease", [&answered](const StoreResponse&) { ++answered; });
  });
  CHECK(RunUntil(loop, [&answered] { return answered >= 5; }));
  CHECK(client.calls().watches == watches);
}

}  // namespace
}  // namespace filbertrack
