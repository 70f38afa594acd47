/// Two services serve the same model. A member of a group of one of them
/// crashes.
///
///   case_group PROGRAM FOLDER RECORD

#include <chrono>
#include <cstdio>

#include "engine.h"
#include "world.h"

namespace review {
namespace {

constexpr const char* kMain = "filbert-llm";
constexpr const char* kNext = "filbert-llm-next";
constexpr int kMainRunners = 5;
constexpr int kNextRunners = 5;
constexpr size_t kGroups = 2;
constexpr int kStreamDeadlineMs = 8000;
/// Bounds of the deployment donatia-ho.
constexpr Bounds kBounds{false, 3000, 2000, 2000, 8, 103};

std::string ServiceJson(const std::string& name) {
  return R"({"name":")" + name +
         R"(","maxConnections":338,"healthPath":"/health","engine":)"
         R"({"slots":17,"kvCapacityTokens":1860000,"step_ms":7.8,)"
         R"("per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":45900,)"
         R"("pairs_per_m":0.433,"chunk":2048,"stride":5,"loadsPerS":5,)"
         R"("loads_at_once":7,"formMs":300,"cachedPrefixes":1,"far_x":3,)"
         R"("report_lag_ms":200,"usual":{"prompt":979,"answer":154},)"
         R"("models":[{"name":"m1","size":2,"share":1,"pace":0.6,"loadS":12,)"
         R"("warmupS":1.1}]}})";
}

std::string SplitConfig() {
  return R"({"version":7,"routes":[{"name":"decl-check","hostname":)"
         R"("desk.example","pathPrefix":"/check/","kind":"streaming",)"
         R"("timeoutMs":8000,"targetLatencyMs":400,"priority":1,)"
         R"("trafficSplit":[{"service":"filbert-llm","weight":50},)"
         R"({"service":"filbert-llm-next","weight":50}],"maxAttempts":2,)"
         R"("public":false,"sticky":true,"resumable":true,)"
         R"("gapTargetMs":300}],"services":[)" +
         ServiceJson(kMain) + "," + ServiceJson(kNext) +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":)"
         R"([{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}]})";
}

bool HasGroups(Engines& engines) {
  return engines.CountOpen(kMain) == kGroups &&
         engines.CountOpen(kNext) == kGroups;
}

int RunCase(const char* program, const char* folder, Record& record) {
  const std::string net = LoopbackNetwork();
  Runs runs(record);
  Store store(net + "1", 3);
  store.Put("config", "main", SplitConfig());
  Engines engines(store, runs, record, {});
  for (int i = 0; i < kMainRunners + kNextRunners; ++i) {
    const bool is_main = i < kMainRunners;
    engines.Add(net + std::to_string(30 + i),
                (is_main ? "i-02d9e6b" : "i-7f3a91c") + std::to_string(i),
                is_main ? kMain : kNext, std::string("zone-") + "abc"[i % 3],
                is_main ? "d0" : "d1");
  }
  const EntryOptions options{program, folder, kBounds, false};
  std::vector<std::unique_ptr<EntryProcess>> entries;
  for (int i = 0; i < 3; ++i) {
    entries.push_back(std::make_unique<EntryProcess>(
        options, record, "front-" + std::to_string(i),
        std::string("zone-") + "abc"[i], net + std::to_string(11 + i),
        store.endpoint(i)));
    entries.back()->Start();
  }
  for (int i = 0; i < 150 && !HasGroups(engines); ++i) {
    Sleep(100);
  }
  std::atomic<bool> stopping = false;
  std::atomic<int> served = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&, i] {
      for (int n = i; !stopping; ++n) {
        const Outcome outcome =
            Call(record, *entries[n % entries.size()], "POST", "/check/2f",
                 kStreamDeadlineMs,
                 {{"X-Model", "m1"},
                  {"X-Token-Usage", "674,174"},
                  {"X-Prompt-Prefix", "5c1e07a2:40,91bd3f06:634"}});
        served += outcome.answer.status == 200 ? 1 : 0;
        Sleep(50);
      }
    });
  }
  Sleep(15000);
  const std::string member = engines.FindMember(kMain, kNext);
  const bool can_run = HasGroups(engines) && served > 50 && !member.empty() &&
                       engines.violations().empty();
  record.Add("before: " + std::to_string(served) + " requests served");
  if (can_run && HasTrouble()) {
    engines.Crash(member);
  }
  Sleep(15000);
  stopping = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const auto& entry : entries) {
    entry->Stop();
  }
  for (const std::string& violation : engines.violations()) {
    record.Add("found " + violation);
  }
  if (!can_run) {
    return kCannotRun;
  }
  return engines.violations().empty() ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s PROGRAM FOLDER RECORD\n", argv[0]);
    return review::kCannotRun;
  }
  review::Record record(argv[3]);
  const int result = review::RunCase(argv[1], argv[2], record);
  record.Add(result == review::kBroken ? "the rule is broken"
                                       : "the rule holds");
  return result;
}
