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
  /// Null: no reply. The grants of the notice are then dropped, and the next
  /// reply to the asker wants a sync, since the notice may have arrived.
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
  struct Session {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    bool wants_sync = false;
    /// Sent again if the last message is received twice.
    PlacementReply last_reply;
    /// Answers to queued asks for the next message to the asker.
    std::vector<PlacementAnswer> pending;
    /// Answers of the notice in flight.
    std::vector<PlacementAnswer> in_notice;
  };

  /// Collects the answers of all pools.
  void Serve(TimePoint now);
  void Deliver(std::vector<PlacementPool::Answered> answered);
  /// Applies a sync. Keeps the grants that the asker may not know yet, since it
  /// does not report those that it uses. The reply lists them again, and the
  /// asker withdraws those that it no longer needs.
  void Sync(const PlacementRequest& request,
            const Session& session,
            TimePoint now);
  void Withdraw(std::string_view asker, uint64_t id, TimePoint now);
  /// Adds the state of all earlier asks of the asker to a reply, so that the
  /// asker can tell which ones are not known here.
  void AddEarlierAsks(std::string_view asker,
                      Session& session,
                      PlacementReply& reply) const;

  std::string m_name;
  uint64_t m_incarnation;
  PlacementPolicy m_policy;
  uint64_t m_seed;
  bool m_drains = false;
  Pools m_pools;
  std::map<std::string, Session, std::less<>> m_sessions;
};

}  // namespace filbertrack
