#pragma once

/// The placer's side of the placement protocol: the pools that this host
/// places, and for each asker the messages that were received and the answers
/// that were not confirmed.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertrack/placement_message.h"
#include "filbertrack/placement_pool.h"

namespace filbertrack {

class Placer {
 public:
  using Pools = std::map<PoolKey, std::unique_ptr<PlacementPool>>;

  Placer(std::string name,
         uint64_t incarnation,
         PlacementPolicy policy,
         uint64_t seed);

  /// Sets the pools that this host places. Queued asks of a pool that it no
  /// longer places are answered with ChooseLocally.
  void SetPools(std::span<const PoolKey> pools, TimePoint now);
  /// Targets of all pools. To be called after SetPools() as well.
  void SetTargets(std::span<const DispatchTarget> targets,
                  const Catalog& catalog,
                  TimePoint now);
  /// Loads reported by gossip of `hosts` live hosts, this one included. Each
  /// pool counts the share of those that have not synced.
  void SetUnsynced(const TargetLoads& by_gossip, size_t hosts, TimePoint now);

  PlacementReply OnRequest(const PlacementRequest& request, TimePoint now);

  /// Notices to send now, one an asker at most while one is in flight.
  std::vector<std::pair<std::string, PlacementNotice>> TakeNotices(
      TimePoint now);
  /// Null: no reply. The answers are then sent again with the next message.
  void OnNoticeReply(std::string_view asker,
                     const PlacementNoticeReply* reply,
                     TimePoint now);

  /// The asker is no longer alive.
  void Forget(std::string_view asker, TimePoint now);
  /// Answers all queued asks with ChooseLocally; from now on OnRequest()
  /// replies that this host does not place.
  void Drain(TimePoint now);
  std::optional<TimePoint> NextDue() const;

  const Pools& pools() const { return m_pools; }

 private:
  std::string m_name;
  uint64_t m_incarnation;
  PlacementPolicy m_policy;
  uint64_t m_seed;
  Pools m_pools;
};

}  // namespace filbertrack
