#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

#include <event2/event.h>
#include <nlohmann/json.hpp>

#include "filbertrack/entry_control.h"
#include "filbertrack/entry_host.h"
#include "filbertrack/entry_peers.h"
#include "platform_decode.h"
#include "platform_dialect.h"
#include "platform_engines.h"
#include "platform_runner_standin.h"
#include "platform_store.h"
#include "platform_store_standin.h"

namespace filbertrack {
namespace {

using Json = nlohmann::json;

/// Ends a test that waits for something that never comes.
constexpr Duration kTestLimit = Seconds(30);

template <typename Done>
bool RunUntil(EventLoop& loop, Done done) {
  bool late = false;
  const auto limit = loop.After(kTestLimit, [&] { late = true; });
  while (!done() && !late) {
    event_base_loop(loop.base(), EVLOOP_ONCE);
  }
  return !late;
}

Json MakeRoute(const std::string& name,
               const std::string& prefix,
               const std::string& kind,
               const std::string& service) {
  return {{"name", name},
          {"hostname", "h.example"},
          {"pathPrefix", prefix},
          {"kind", kind},
          {"timeoutMs", 8000},
          {"targetLatencyMs", 400},
          {"priority", 1},
          {"service", service},
          {"maxAttempts", kind == "unsafe" ? 1 : 2},
          {"public", false},
          {"resumable", kind == "streaming"},
          {"gapTargetMs", 300}};
}

Json MakeConfig(uint64_t version) {
  return {{"version", version},
          {"routes",
           {MakeRoute("stream", "/s/", "streaming", "llm"),
            MakeRoute("safe", "/safe/", "safe", "plain"),
            MakeRoute("once", "/once/", "unsafe", "plain")}},
          {"services",
           {{{"name", "llm"},
             {"maxConnections", 100},
             {"engine",
              {{"slots", 4},
               {"step_ms", 1},
               {"read_per_s", 100000},
               {"chunk", 2048},
               {"loadsPerS", 5},
               {"loads_at_once", 7},
               {"models",
                {{{"name", "m"},
                  {"size", 2},
                  {"share", 1},
                  {"loadS", 1},
                  {"warmupS", 0.1}}}}}}},
            {{"name", "plain"}, {"maxConnections", 100}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 100000},
            {"headerTimeoutMs", 3000},
            {"idleTimeoutMs", 15000}}},
          {"tenants", {{{"name", "w"}, {"apiKeys", {"key"}}}}}};
}

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

/// An entry host with all its parts, the store and runners, on one loop.
struct Site {
  explicit Site(int hosts) : store(loop) {
    store.Put("config", "main", MakeConfig(1));
    for (int i = 0; i < hosts; ++i) {
      RunnerStandinOptions options;
      options.id = "r" + std::to_string(i);
      runners.push_back(
          std::make_unique<PlatformRunnerStandin>(loop, store, options));
    }
    for (int i = 0; i < 2; ++i) {
      RunnerStandinOptions options;
      options.id = "p" + std::to_string(i);
      options.service = "plain";
      options.is_plain = true;
      plain.push_back(
          std::make_unique<PlatformRunnerStandin>(loop, store, options));
    }
    const auto settings = EntrySchema().ParseText(
        "[node]\nname = e1\ndata_centre = z\n"
        "[callers]\nlisten = 127.0.0.1:0\n[ready]\nlisten = 127.0.0.1:0\n"
        "[peers]\nlisten = 127.0.0.1:0\n[store]\naddress = " +
            store.address().ToString() + "\n",
        "test.ini");
    host = std::make_unique<EntryHost>(loop, *settings, dialect);
    listening = host->Listen().has_value();
    client = std::make_unique<platform::PlatformStore>(
        loop, store.address(), platform::PlatformStorePolicy{}, *host, 1);
    EntryPeersPolicy peer_policy;
    peers = std::make_unique<EntryPeers>(loop, "e1", Address{"127.0.0.1", 0},
                                         peer_policy, *host, decoder, *client,
                                         *client);
    engines = std::make_unique<platform::PlatformEngines>(loop);
    ControlPolicy policy;
    policy.replicas.settle = Milliseconds(50);
    policy.replicas.spares_per_domain = 1;
    control = std::make_unique<EntryControl>(loop, "e1", policy, *host, *peers,
                                             *engines, *client);
    peers->Start();
    control->Start();
  }

  int CountOpen() const {
    return static_cast<int>(
        std::count_if(runners.begin(), runners.end(),
                      [](const auto& runner) { return runner->is_open(); }));
  }

  /// Groups and plain servers that the host would send to.
  size_t CountTargets() const {
    return host->catalog() == nullptr
               ? 0
               : CurrentTargets(host->directory(), *host->catalog()).size();
  }

  EventLoop loop;
  PlatformStoreStandin store;
  std::vector<std::unique_ptr<PlatformRunnerStandin>> runners;
  std::vector<std::unique_ptr<PlatformRunnerStandin>> plain;
  platform::PlatformDialect dialect;
  platform::PlatformDecoder decoder;
  std::unique_ptr<EntryHost> host;
  bool listening = false;
  std::unique_ptr<platform::PlatformStore> client;
  std::unique_ptr<EntryPeers> peers;
  std::unique_ptr<platform::PlatformEngines> engines;
  std::unique_ptr<EntryControl> control;
};

/// What a caller got.
struct Answer {
  bool ended = false;
  bool failed = false;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

std::unique_ptr<HttpCall> Ask(Site& site,
                              HttpClient& client,
                              const std::string& path,
                              const std::string& id,
                              Answer& answer,
                              const std::string& key = "key") {
  HttpCallRequest request;
  request.method = HttpMethod::kPost;
  request.target = path;
  request.headers = {{"Host", "h.example"},
                     {"X-Attempt-Id", id},
                     {"X-Model", "m"},
                     {"X-Token-Usage", "100,50"},
                     {"X-Deadline-Remaining", "8000"},
                     {"Authorization", "Bearer " + key}};
  HttpCallEvents events;
  events.on_head = [&answer](int status, const HttpHeaders& headers) {
    answer.status = status;
    answer.headers = headers;
  };
  events.on_bytes = [&answer](std::string_view bytes) { answer.body += bytes; };
  events.on_end = [&answer](int) { answer.ended = true; };
  events.on_failure = [&answer](bool) { answer.ended = answer.failed = true; };
  return client.Start(site.host->caller_address(), std::move(request),
                      std::move(events));
}

std::string WholeStream(int events) {
  std::string text;
  for (int i = 1; i <= events; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: part " + std::to_string(i) +
            "\n\n";
  }
  return text;
}

TEST_CASE("from nothing: groups form and a stream is served unchanged") {
  Site site(5);
  REQUIRE(site.listening);
  REQUIRE(RunUntil(site.loop, [&] { return site.CountOpen() == 2; }));
  REQUIRE(RunUntil(site.loop, [&] { return site.CountTargets() == 4; }));
  CHECK(site.host->IsReady());
  HttpClient client(site.loop, 2);
  Answer answer;
  const auto call = Ask(site, client, "/s/x", "id-1", answer);
  REQUIRE(RunUntil(site.loop, [&] { return answer.ended; }));
  CHECK(answer.status == 200);
  CHECK(answer.body == WholeStream(5));
  CHECK(FindHeader(answer.headers, "X-Runner-Seal").starts_with("seal-of-"));
  for (const auto& runner : site.runners) {
    for (const SeenRequest& seen : runner->seen()) {
      CHECK(seen.workspace == "w");
      CHECK(seen.authorization.empty());
      CHECK(std::stoi(seen.time_left) <= 8000);
    }
  }
}

TEST_CASE("a head dies in mid-stream: the caller gets one whole answer") {
  // The stream breaks after its first events; another group takes it up after
  // the last one that the caller has, and the group that lost its head is made
  // whole from what is left.
  Site site(5);
  REQUIRE(RunUntil(site.loop, [&] { return site.CountOpen() == 2; }));
  REQUIRE(RunUntil(site.loop, [&] { return site.CountTargets() == 4; }));
  HttpClient client(site.loop, 2);
  Answer answer;
  const auto call = Ask(site, client, "/s/x", "id-1", answer);
  REQUIRE(RunUntil(site.loop, [&] {
    return answer.body.find("part 2") != std::string::npos;
  }));
  for (const auto& runner : site.runners) {
    if (!runner->seen().empty()) {
      runner->Die();
      break;
    }
  }
  REQUIRE(RunUntil(site.loop, [&] { return answer.ended; }));
  CHECK_FALSE(answer.failed);
  CHECK(answer.body == WholeStream(5));
}

TEST_CASE("a member leaves in mid-stream: the stream ends where it began") {
  // The caller gets its whole answer from the first group. A member reports
  // that it is leaving; the group takes nothing new, is closed in order, and
  // ends what it has. To take the stream up elsewhere would use up a retry and
  // read the prompt again.
  Site site(5);
  for (const auto& runner : site.runners) {
    runner->SetEvents(40);
  }
  REQUIRE(RunUntil(site.loop, [&] { return site.CountTargets() == 4; }));
  HttpClient client(site.loop, 2);
  Answer answer;
  const auto call = Ask(site, client, "/s/x", "id-1", answer);
  REQUIRE(RunUntil(site.loop, [&] {
    return answer.body.find("part 2") != std::string::npos;
  }));
  std::string member;
  for (const auto& runner : site.runners) {
    if (!runner->seen().empty()) {
      member = runner->members().back();
    }
  }
  for (const auto& runner : site.runners) {
    if (runner->id() == member) {
      runner->Register("draining");
    }
  }
  REQUIRE(RunUntil(site.loop, [&] { return answer.ended; }));
  CHECK(answer.body == WholeStream(40));
  size_t sends = 0;
  for (const auto& runner : site.runners) {
    sends += runner->seen().size();
  }
  CHECK(sends == 1);
}

TEST_CASE("a request that runs at most once is not sent again") {
  // The server ran it and its answer is lost: the caller is told that nobody
  // knows, and no other server sees the request.
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  for (const auto& server : site.plain) {
    server->SetLosesAnswers(true);
  }
  HttpClient client(site.loop, 2);
  Answer answer;
  const auto call = Ask(site, client, "/once/x", "id-1", answer);
  REQUIRE(RunUntil(site.loop, [&] { return answer.ended; }));
  CHECK(answer.status == 502);
  CHECK(site.plain[0]->seen().size() + site.plain[1]->seen().size() == 1);
}

TEST_CASE("a request that may be repeated is sent to another server") {
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  site.plain[0]->SetLosesAnswers(true);
  HttpClient client(site.loop, 2);
  for (int i = 0; i < 4; ++i) {
    Answer answer;
    const auto call =
        Ask(site, client, "/safe/x", "id-" + std::to_string(i), answer);
    REQUIRE(RunUntil(site.loop, [&] { return answer.ended; }));
    CHECK(answer.status == 200);
    CHECK(answer.body == "answer of p1");
  }
}

TEST_CASE(
    "servers that refuse: the caller is told that nothing ran, and when to "
    "come back") {
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  for (const auto& server : site.plain) {
    server->SetFull(true);
  }
  HttpClient client(site.loop, 2);
  Answer answer;
  const auto call = Ask(site, client, "/once/x", "id-1", answer);
  REQUIRE(RunUntil(site.loop, [&] { return answer.ended; }));
  CHECK(answer.status == 503);
  CHECK_FALSE(FindHeader(answer.headers, "Retry-After").empty());
  CHECK(site.plain[0]->seen().empty());
  CHECK(site.plain[1]->seen().empty());
}

TEST_CASE("an answer that names another request never reaches the caller") {
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  for (const auto& server : site.plain) {
    server->SetMixesAnswers(true);
  }
  HttpClient client(site.loop, 2);
  Answer answer;
  const auto call = Ask(site, client, "/safe/x", "id-1", answer);
  REQUIRE(RunUntil(site.loop, [&] { return answer.ended; }));
  CHECK(answer.status == 502);
  CHECK(answer.body.find("answer of") == std::string::npos);
}

TEST_CASE("unknown keys and routes are refused, and run nowhere") {
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  HttpClient client(site.loop, 2);
  Answer wrong_key;
  const auto first = Ask(site, client, "/safe/x", "id-1", wrong_key, "stolen");
  REQUIRE(RunUntil(site.loop, [&] { return wrong_key.ended; }));
  CHECK(wrong_key.status == 401);
  Answer no_route;
  const auto second = Ask(site, client, "/nowhere/", "id-2", no_route);
  REQUIRE(RunUntil(site.loop, [&] { return no_route.ended; }));
  CHECK(no_route.status == 404);
}

TEST_CASE("a key that is withdrawn is refused from the next request on") {
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  Json config = MakeConfig(2);
  config["tenants"][0]["apiKeys"] = {"other"};
  site.store.Put("config", "main", config);
  REQUIRE(RunUntil(site.loop,
                   [&] { return site.host->catalog()->version() == 2; }));
  HttpClient client(site.loop, 2);
  Answer answer;
  const auto call = Ask(site, client, "/safe/x", "id-1", answer);
  REQUIRE(RunUntil(site.loop, [&] { return answer.ended; }));
  CHECK(answer.status == 401);
}

TEST_CASE("a caller that leaves ends the work at the server") {
  Site site(3);
  REQUIRE(RunUntil(site.loop, [&] { return site.CountOpen() == 1; }));
  REQUIRE(RunUntil(site.loop, [&] { return site.CountTargets() == 3; }));
  HttpClient client(site.loop, 2);
  Answer answer;
  auto call = Ask(site, client, "/s/x", "id-1", answer);
  REQUIRE(RunUntil(site.loop, [&] { return !answer.body.empty(); }));
  call.reset();
  CHECK(RunUntil(site.loop, [&] {
    return std::any_of(
        site.runners.begin(), site.runners.end(), [](const auto& runner) {
          return !runner->seen().empty() && runner->seen()[0].ended;
        });
  }));
}

TEST_CASE("a stopping host answers what it has and refuses what comes late") {
  // After the balancer had time to learn of the stop, a new request is refused
  // as not run, so that it is not cut at the end of the grace time.
  Site site(0);
  REQUIRE(RunUntil(site.loop, [&] { return site.host->IsReady(); }));
  site.host->Drain();
  CHECK_FALSE(site.host->IsReady());
  HttpClient client(site.loop, 2);
  Answer early;
  const auto first = Ask(site, client, "/safe/x", "id-1", early);
  REQUIRE(RunUntil(site.loop, [&] { return early.ended; }));
  CHECK(early.status == 200);
  CHECK(FindHeader(early.headers, "Connection") == "close");
}

}  // namespace
}  // namespace filbertrack
