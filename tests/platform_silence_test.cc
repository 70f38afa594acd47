#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "platform_store_fixture.h"
#include "soak_proxy.h"

/// Open connections to the store go silent while new ones work.

namespace filbertrack {
namespace {

TEST_CASE("watches on silent connections are begun anew") {
  // Guards against requests to servers that left, and keys that were withdrawn,
  // until the watches of all hosts time out.
  EventLoop loop;
  RecordingListener listener;
  PlatformStoreStandin store(loop);
  soak::Proxy proxy(loop, store.address());
  store.Put("config", "main", MakeConfig(1));
  store.Put("servers", "s1", MakePlainSpec());
  store.Put("filbertrack-records", "lease", "text");
  platform::PlatformStorePolicy policy;
  // Long enough that no watch times out in this test.
  policy.watch_wait = Seconds(60);
  policy.silence_timeout = Milliseconds(50);
  platform::PlatformStore client(loop, proxy.address(), policy, listener, 1);
  client.SetWatching(true);
  REQUIRE(RunUntil(loop, [&store] { return store.watches() == 2; }));
  // Leaves an open connection for the next read.
  bool was_read = false;
  client.Read("lease", [&was_read](const StoreResponse&) { was_read = true; });
  REQUIRE(RunUntil(loop, [&was_read] { return was_read; }));

  proxy.Cut("127.0.0.1", {.drops_new = false});
  store.Remove("servers", "s1");
  store.Put("config", "main", MakeConfig(2));
  const auto reads = loop.Every(policy.silence_timeout * 2, [&client] {
    client.Read("lease", [](const StoreResponse&) {});
  });
  CHECK(RunUntil(loop, [&listener] {
    return listener.servers.empty() && listener.versions.back() == 2;
  }));
  CHECK(listener.lost == 0);
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
