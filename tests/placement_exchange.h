#pragma once

/// An asker and a placer in one process, for tests of their exchange.

#include <algorithm>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "dispatch_fixture.h"
#include "filbertrack/placement_client.h"
#include "filbertrack/placement_placer.h"

namespace filbertrack {

inline const PoolKey kPool{"llm", "m"};
inline constexpr Duration kDelay = Milliseconds(1);

inline PlacementAsk MakeAsk(uint64_t id, int priority = 0) {
  PlacementAsk ask;
  ask.id = id;
  ask.pool = kPool;
  ask.prompt_tokens = 714;
  ask.time_to_slo = Milliseconds(300);
  ask.time_left = Seconds(6);
  ask.priority = priority;
  ask.workspace = "w";
  return ask;
}

inline std::unique_ptr<Placer> MakePlacer(const std::string& name,
                                          uint64_t incarnation = 1,
                                          int targets = 4) {
  auto placer = std::make_unique<Placer>(name, incarnation, PlacementPolicy{},
                                         uint64_t{1});
  placer->SetPools(std::vector{kPool}, kStart);
  placer->SetTargets(MakeTargets(targets, "m"), MakeCatalog(), kStart);
  return placer;
}

/// An asker and a placer whose messages the test delivers or loses.
struct Exchange {
  explicit Exchange(int targets = 4) : placer(MakePlacer("p", 1, targets)) {
    client.SetPlacer(kPool, "p", now);
    Deliver();
  }

  /// Delivers the asker's messages and the replies to them.
  std::vector<PlacementClient::Decided> Deliver() {
    std::vector<PlacementClient::Decided> decided;
    for (const auto& [name, request] : client.TakeMessages(now)) {
      now += kDelay;
      const PlacementReply reply = placer->OnRequest(request, now);
      now += kDelay;
      for (auto& item : client.OnReply(name, &reply, now)) {
        decided.push_back(std::move(item));
      }
    }
    return decided;
  }

  /// Delivers the placer's notices and the replies to them.
  std::vector<PlacementClient::Decided> DeliverNotices() {
    std::vector<PlacementClient::Decided> decided;
    for (const auto& [asker, notice] : placer->TakeNotices(now)) {
      now += kDelay;
      PlacementNoticeReply reply;
      for (auto& item : client.OnNotice(notice, reply, now)) {
        decided.push_back(std::move(item));
      }
      placer->OnNoticeReply(asker, &reply, now);
    }
    return decided;
  }

  std::string Grant(uint64_t id) {
    REQUIRE(client.TryAsk(MakeAsk(id), now));
    const auto decided = Deliver();
    REQUIRE(decided.size() == 1);
    const auto* grant = std::get_if<PlacementGrant>(&decided[0].decision);
    return grant == nullptr ? "" : grant->target;
  }

  /// Asks until one ask is queued and returns its id. An ended request tells
  /// the placer the usual time of one.
  uint64_t FillUntilQueued() {
    const std::string target = Grant(1);
    now += Seconds(1);
    client.OnEvent(
        kPool, PlacementEnded{1, target, true, DispatchResult::kAnswered}, now);
    for (uint64_t id = 2; id < 200; ++id) {
      REQUIRE(client.TryAsk(MakeAsk(id), now));
      const auto decided = Deliver();
      if (decided.empty()) {
        return id;
      }
      const auto* grant = std::get_if<PlacementGrant>(&decided[0].decision);
      REQUIRE(grant != nullptr);
      client.OnEvent(kPool, PlacementFirst{id, grant->target, grant->predicted},
                     now);
    }
    FAIL("no ask was queued");
    return 0;
  }

  size_t Outstanding() const {
    return placer->pools().at(kPool)->counts().outstanding;
  }
  size_t Waiting() const {
    size_t waiting = 0;
    for (const auto& [priority, count] :
         placer->pools().at(kPool)->counts().waiting) {
      waiting += count;
    }
    return waiting;
  }

  TimePoint now = kStart;
  std::unique_ptr<Placer> placer;
  PlacementClient client{"e1", 1};
};

inline bool IsLocal(const PlacementClient::Decided& decided) {
  return std::holds_alternative<ChooseLocally>(decided.decision);
}

}  // namespace filbertrack
