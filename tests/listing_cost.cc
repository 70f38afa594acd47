/// Measures the time to read a listing of the registrations: as the store
/// client does, object by object with limits, and as a whole without limits,
/// with the objects copied and written again.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "platform_collectors.h"
#include "platform_decode.h"
#include "platform_item.h"

namespace {

using namespace filbertrack;
using Json = nlohmann::json;

constexpr int kRounds = 21;
constexpr int kServers = 3300;
constexpr size_t kReadBytes = 16 * 1024;
constexpr size_t kMaxObjectBytes = 4 * 1024 * 1024;

struct CountingListener : SiteListener {
  void OnCatalog(std::shared_ptr<const Catalog>, std::string) override {}
  void OnServers(ServerChanges changes) override {
    servers = changes.changed.size();
  }
  void OnEvacuations(SiteEvacuations::DataCentres, uint64_t) override {}
  void OnStoreLost(Duration) override {}
  void OnStoreReturned() override {}
  void OnStoreAnswered() override {}

  size_t servers = 0;
};

std::string MakeListing() {
  Json items = Json::array();
  for (int i = 0; i < kServers; ++i) {
    const std::string id = "i-" + std::to_string(1000000 + i);
    const Json spec = {
        {"service", "agent-llm"},
        {"address", "10.1.64." + std::to_string(i % 250) + ":8063"},
        {"zone", "zone-a"},
        {"version", "v1"},
        {"slots", 34},
        {"state", "ready"},
        {"coldRemainingMs", 0},
        {"seq", i},
        {"born", 1796000000000},
        {"domain", "d" + std::to_string(i / 19)},
        {"staged", {"m1"}},
        {"models", {{{"name", "m1"}, {"version", 1}}}},
        {"group",
         {{"name", "m1/" + std::to_string(100000 + i / 4)},
          {"epoch", 100000 + i / 4},
          {"rank", i % 4},
          {"state", i % 4 == 0 ? "open" : "ready"}}}};
    items.push_back({{"metadata",
                      {{"name", id},
                       {"rev", i + 1},
                       {"created", 1},
                       {"finalizers", Json::array()},
                       {"deleting", false}}},
                     {"spec", spec},
                     {"status", nullptr}});
  }
  return Json({{"items", items}, {"hasMore", false}, {"asOf", kServers}})
      .dump();
}

size_t ReadByObject(const std::string& listing) {
  CountingListener listener;
  platform::ServerCollector collector(listener);
  JsonElements elements("items", kMaxObjectBytes, [&](const auto& element) {
    collector.Add(platform::ReadListedItem(element, collector.limits()));
  });
  for (size_t at = 0; at < listing.size(); at += kReadBytes) {
    elements.Push(std::string_view(listing).substr(at, kReadBytes));
  }
  if (elements.Rest()) {
    collector.Deliver(1, true);
  }
  return listener.servers;
}

size_t ReadAsWhole(const std::string& listing) {
  std::string text;
  for (size_t at = 0; at < listing.size(); at += kReadBytes) {
    text += std::string_view(listing).substr(at, kReadBytes);
  }
  const Json body = Json::parse(text, nullptr, false);
  std::vector<Json> items;
  for (const Json& item : body["items"]) {
    items.push_back(item);
  }
  std::vector<Registration> servers;
  for (const Json& item : items) {
    const Json& spec = platform::Member(item, "spec");
    std::string stored = spec.dump();
    auto server = platform::DecodeServer(
        platform::Member(platform::Member(item, "metadata"), "name"), spec);
    if (server) {
      servers.push_back({std::move(*server), 1, std::move(stored)});
    }
  }
  return servers.size();
}

template <typename Action>
double MillisecondsOf(Action action) {
  const auto begin = std::chrono::steady_clock::now();
  action();
  const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - begin;
  return took.count();
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

}  // namespace

int main() {
  const std::string listing = MakeListing();
  std::vector<double> by_object;
  std::vector<double> as_whole;
  size_t servers = 0;
  for (int i = 0; i < kRounds; ++i) {
    by_object.push_back(
        MillisecondsOf([&] { servers += ReadByObject(listing); }));
    as_whole.push_back(
        MillisecondsOf([&] { servers -= ReadAsWhole(listing); }));
  }
  std::printf(
      "listing of %d registrations, %zu bytes, median of %d: "
      "%.2f ms object by object, %.2f ms as a whole\n",
      kServers, listing.size(), kRounds, Median(by_object), Median(as_whole));
  return servers == 0 ? 0 : 1;
}
