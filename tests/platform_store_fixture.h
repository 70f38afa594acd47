#pragma once

/// Test fixture: the store client and a stand-in for the store.

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform_config.h"
#include "platform_store.h"
#include "platform_store_standin.h"
#include "run_until.h"

namespace filbertrack {

/// Records the notifications of the store client.
struct RecordingListener : SiteListener {
  void OnCatalog(std::shared_ptr<const Catalog> catalog, std::string) override {
    versions.push_back(catalog->version());
  }
  void OnServers(ServerChanges changes) override {
    if (changes.is_complete) {
      ++listings;
      servers.clear();
    }
    for (const Registration& registration : changes.changed) {
      servers.insert(registration.server.id);
      forwarded_bytes += registration.text.size();
    }
    for (const UnreadableServer& invalid : changes.unreadable) {
      servers.erase(invalid.id);
      unreadable.insert(invalid.id);
      reasons[invalid.id] = invalid.why;
      forwarded_bytes += invalid.text.size() + invalid.why.size();
    }
    for (const RemovedServer& removed : changes.removed) {
      servers.erase(removed.id);
    }
  }
  void OnEvacuations(SiteEvacuations::DataCentres, uint64_t) override {}
  void OnStoreLost(Duration unanswered) override {
    ++lost;
    last_unanswered = unanswered;
  }
  void OnStoreReturned() override { ++returned; }
  void OnStoreAnswered() override { ++answered; }

  std::vector<uint64_t> versions;
  std::set<std::string> servers;
  std::set<std::string> unreadable;
  /// Why each of these was last rejected.
  std::map<std::string, std::string> reasons;
  /// Size of the texts that are kept for other entry hosts.
  size_t forwarded_bytes = 0;
  int listings = 0;
  int lost = 0;
  /// Time without an answer when the store was last lost.
  Duration last_unanswered{0};
  int returned = 0;
  int answered = 0;
};

inline Json MakePlainSpec() {
  return {{"service", "plain"},   {"address", "127.0.0.1:9"},
          {"zone", "z"},          {"version", "v1"},
          {"slots", 4},           {"state", "ready"},
          {"coldRemainingMs", 0}, {"seq", 1}};
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
  RecordingListener listener;
  PlatformStoreStandin store;
  platform::PlatformStore client;
};

}  // namespace filbertrack
