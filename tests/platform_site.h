#pragma once

/// Test fixture: complete entry hosts with stand-ins for the store and the
/// runners, all on one event loop.

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "filbertrack/entry_control.h"
#include "filbertrack/entry_host.h"
#include "filbertrack/entry_peers.h"
#include "filbertrack/entry_placement.h"
#include "filbertrack/entry_poison_record.h"
#include "platform_config.h"
#include "platform_decode.h"
#include "platform_engine_client.h"
#include "platform_header_codec.h"
#include "platform_runner_standin.h"
#include "platform_store.h"
#include "platform_store_standin.h"
#include "run_until.h"

namespace filbertrack {

/// Returns a free address, for a host whose address is needed before it
/// listens.
inline Address FreeAddress(EventLoop& loop) {
  HttpServer server(loop, {}, [](const std::shared_ptr<HttpExchange>&) {});
  return server.Listen({"127.0.0.1", 0}).value();
}

struct SiteOptions {
  /// Number of hosts that form groups, and of entry hosts.
  int hosts = 0;
  int entry_hosts = 1;
  /// Backend servers are assigned to these round robin. Each data centre is one
  /// fabric domain.
  std::vector<std::string> data_centres = {"z"};
  Json config = MakeConfig(1);
  /// Extra bytes in each event of a stream.
  size_t event_padding = 0;
  /// Memory of each entry host, in MiB.
  int entry_memory_mb = 512;
  Duration unread_timeout = Seconds(10);
  /// Setting [stop] grace.
  Duration grace = Seconds(8);
  /// Setting [placement] mode.
  std::string placement = "auto";
  /// As RunnerStandinOptions::published, for all backend servers.
  std::function<Address(const Address&)> published{};
};

/// One entry host.
struct EntryNode {
  EntryNode(EventLoop& loop,
            const Address& store,
            const std::string& name,
            const SiteOptions& site,
            const CallHeaderCodec& header_codec,
            const SiteDecoder& decoder)
      : engines(loop, SourceOf(name)),
        settings(MakeSettings(store, name, site, site.placement)),
        host(loop, settings, header_codec, engines),
        listening(host.Listen().has_value()),
        client(loop, store, MakeStorePolicy(), host, 1),
        peers(loop,
              FleetHost{name, "z", kCapacity},
              FreeAddress(loop),
              EntryPeersPolicy{},
              host,
              decoder,
              client,
              client),
        placement(loop, name, host, peers),
        control(loop, name, MakePolicy(), host, peers, engines, client),
        poison_record(loop, {}, host.poison(), client, [this] {
          return control.holds_lease();
        }) {
    peers.Start();
    poison_record.Start();
    control.Start();
  }

  /// `placement` is the setting [placement] mode.
  static Settings MakeSettings(const Address& store,
                               const std::string& name,
                               const SiteOptions& site,
                               const std::string& placement) {
    return *EntrySchema().ParseText(
        "[node]\nname = " + name +
            "\ndata_centre = z\nregions = z:region-z,y:region-y\n"
            "memory_mb = " +
            std::to_string(site.entry_memory_mb) +
            "\n[evacuations]\nwatched = yes\n"
            "[servers]\nsource = " +
            SourceOf(name) +
            "\n[callers]\nlisten = 127.0.0.1:0\nunread_timeout = " +
            std::to_string(ToMilliseconds(site.unread_timeout)) +
            "ms\n[stop]\ngrace = " +
            std::to_string(ToMilliseconds(site.grace)) +
            "ms\n[placement]\nmode = " + placement +
            "\n[ready]\nlisten = 127.0.0.1:0\n[store]\naddress = " +
            store.ToString() + "\n",
        "test.ini");
  }

  /// IP address from which the entry host connects to backend servers; a
  /// different one for each, so that links of single hosts can be cut.
  static std::string SourceOf(const std::string& name) {
    return "127.0.9." + name.substr(1);
  }

  /// Capacity of an entry host with a quarter of a core and 1,000 Mbit/s.
  static constexpr int kCapacity = 250;

  static platform::PlatformStorePolicy MakeStorePolicy() {
    platform::PlatformStorePolicy policy;
    policy.watches_evacuations = true;
    return policy;
  }

  static ControlPolicy MakePolicy() {
    ControlPolicy policy;
    policy.replicas.settle = Milliseconds(50);
    policy.replicas.spares_per_domain = 1;
    return policy;
  }

  /// Number of groups and plain servers that the host can send requests to.
  size_t CountTargets() const {
    return host.catalog() == nullptr
               ? 0
               : CurrentTargets(host.directory(), *host.catalog()).size();
  }

  platform::PlatformEngineClient engines;
  Settings settings;
  EntryHost host;
  bool listening;
  platform::PlatformStore client;
  EntryPeers peers;
  EntryPlacement placement;
  EntryControl control;
  EntryPoisonRecord poison_record;
};

/// Entry hosts, hosts that form groups, and two plain servers.
struct Site {
  explicit Site(int hosts, int entry_hosts = 1)
      : Site(SiteOptions{.hosts = hosts, .entry_hosts = entry_hosts}) {}

  explicit Site(const SiteOptions& site) : options(site), store(loop) {
    store.Put("config", "main", site.config);
    const auto data_centre = [&site](int i) {
      return site
          .data_centres[static_cast<size_t>(i) % site.data_centres.size()];
    };
    for (int i = 0; i < site.hosts; ++i) {
      RunnerStandinOptions runner;
      runner.id = "r" + std::to_string(i);
      runner.data_centre = data_centre(i);
      runner.domain = "d-" + runner.data_centre;
      runner.event_padding = site.event_padding;
      runner.published = site.published;
      runners.push_back(
          std::make_unique<PlatformRunnerStandin>(loop, store, runner));
    }
    for (int i = 0; i < 2; ++i) {
      RunnerStandinOptions runner;
      runner.id = "p" + std::to_string(i);
      runner.data_centre = data_centre(i);
      runner.service = "plain";
      runner.is_plain = true;
      runner.published = site.published;
      plain.push_back(
          std::make_unique<PlatformRunnerStandin>(loop, store, runner));
    }
    for (int i = 0; i < site.entry_hosts; ++i) {
      AddEntryHost();
    }
    host = &nodes.front()->host;
    listening = nodes.front()->listening;
  }

  /// Adds an entry host. With `at_second_address`, it uses the store's second
  /// address, at which the stand-in can be told to refuse all calls.
  EntryNode& AddEntryHost(bool at_second_address = false) {
    const std::string name = "e" + std::to_string(nodes.size() + 1);
    nodes.push_back(std::make_unique<EntryNode>(
        loop, at_second_address ? store.second_address() : store.address(),
        name, options, header_codec, decoder));
    return *nodes.back();
  }

  int CountOpen() const {
    return static_cast<int>(
        std::count_if(runners.begin(), runners.end(),
                      [](const auto& runner) { return runner->is_open(); }));
  }

  size_t CountTargets() const { return nodes.front()->CountTargets(); }

  SiteOptions options;
  EventLoop loop;
  PlatformStoreStandin store;
  std::vector<std::unique_ptr<PlatformRunnerStandin>> runners;
  std::vector<std::unique_ptr<PlatformRunnerStandin>> plain;
  platform::PlatformHeaderCodec header_codec;
  platform::PlatformDecoder decoder;
  std::vector<std::unique_ptr<EntryNode>> nodes;
  /// The first entry host.
  EntryHost* host = nullptr;
  bool listening = false;
};

/// The response as received by the caller.
struct CallerResponse {
  bool ended = false;
  bool failed = false;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

struct RequestOptions {
  std::string key = "key";
  std::string body;
  /// Time left until the deadline, in milliseconds.
  std::string deadline_ms = "8000";
  /// X-Prompt-Prefix; empty: none.
  std::string prompt_parts = {};
};

inline std::unique_ptr<HttpCall> SendRequestTo(
    const Address& address,
    HttpClient& client,
    const std::string& path,
    const std::string& id,
    CallerResponse& response,
    const RequestOptions& options = {}) {
  HttpCallRequest request;
  request.method = HttpMethod::kPost;
  request.target = path;
  request.headers = {{"Host", "h.example"},
                     {"X-Attempt-Id", id},
                     {"X-Model", "m"},
                     {"X-Token-Usage", "100,50"},
                     {"X-Deadline-Remaining", options.deadline_ms},
                     {"Authorization", "Bearer " + options.key}};
  if (!options.prompt_parts.empty()) {
    request.headers.emplace_back("X-Prompt-Prefix", options.prompt_parts);
  }
  request.body = options.body;
  HttpCallEvents events;
  events.on_head = [&response](int status, const HttpHeaders& headers) {
    response.status = status;
    response.headers = headers;
  };
  events.on_bytes = [&response](std::string_view bytes) {
    response.body += bytes;
  };
  events.on_end = [&response](int) { response.ended = true; };
  events.on_failure = [&response](bool) {
    response.ended = response.failed = true;
  };
  return client.Start(address, std::move(request), std::move(events));
}

inline std::unique_ptr<HttpCall> SendRequest(Site& site,
                                             HttpClient& client,
                                             const std::string& path,
                                             const std::string& id,
                                             CallerResponse& response,
                                             const std::string& key = "key") {
  return SendRequestTo(site.host->caller_address(), client, path, id, response,
                       {key, {}});
}

inline std::string ExpectedStream(int events) {
  std::string text;
  for (int i = 1; i <= events; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: part " + std::to_string(i) +
            "\n\n";
  }
  return text;
}

}  // namespace filbertrack
