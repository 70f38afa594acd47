#pragma once

/// The placer's side of the placement protocol: the pools that this host
/// places, and for each asker the messages that were received and the answers
/// that were not confirmed.
///
/// A host also places a pool for the askers that the hosts before it in the
/// ranking do not reply to, and may take the pool over. See
/// docs/design/placer-failover.md.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertrack/placement_message.h"
#include "filbertrack/placement_pool.h"

namespace filbertrack {

/// This host's part in a pool.
struct PlacementRole {
  PoolKey pool;
  /// The hosts that rank before this one; empty: it is the placer.
  std::vector<std::string> before;
  /// Other hosts may still be placing the pool when this one becomes the
  /// placer.
  bool may_overlap = false;

  bool IsFirst() const { return before.empty(); }
};

class Placer {
 public:
  using Pools = std::map<PoolKey, std::unique_ptr<PlacementPool>>;

  Placer(std::string name,
         uint64_t incarnation,
         PlacementPolicy policy,
         uint64_t seed);

  /// Sets the pools in which this host has a part. Queued asks of other pools
  /// are answered with ChooseLocally.
  void SetRoles(std::span<const PlacementRole> roles, TimePoint now);
  /// Makes this host the first in rank for these pools and for no others.
  void SetPools(std::span<const PoolKey> pools, TimePoint now);
  /// The live hosts, this one included.
  void SetHosts(std::set<std::string, std::less<>> hosts, TimePoint now);
  /// The hosts that do not reply to the client of this host, and those that
  /// have not replied for kSilence so far.
  void SetUnresponsive(std::set<std::string, std::less<>> hosts,
                       std::set<std::string, std::less<>> silent,
                       TimePoint now);
  /// Hosts of which this one must find out whether they reply.
  std::set<std::string, std::less<>> TakeChecks();
  /// Another host takes over from the hosts that it names.
  void OnClaim(const PlacementNotice& claim, TimePoint now);
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

  /// The pools that this host places, for all askers or for some.
  const Pools& pools() const { return m_pools; }
  /// Number of times that this host has taken over a pool.
  uint64_t claims() const { return m_claims; }
  /// Whether it has taken over the pool and not been replaced since.
  bool HasClaimed(const PoolKey& key) const;

  /// Whether loads of hosts that did not move here should be estimated now, see
  /// SetUnsynced(). Once for each pool that is taken over.
  bool TakeNeedsEstimate() { return std::exchange(m_needs_estimate, false); }

  /// Without a reply to this host in this time, the reports of several askers
  /// are believed.
  static constexpr Duration kSilence = Milliseconds(10);
  /// Interval at which an asker is told what was learned about a pool.
  static constexpr Duration kEstimateInterval = Milliseconds(500);

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
    TimePoint estimates_sent;
  };
  struct Part {
    PlacementRole role;
    /// The hosts before this one do not reply, so that it places for all.
    bool is_claimed = false;
    /// Latest end of the confinement; nullopt: it lasts until a claim.
    std::optional<TimePoint> confined_until;
    /// Askers that moved here.
    std::set<std::string, std::less<>> came;
    /// When those of them came that get no reply from the hosts before this
    /// one; kept for a second.
    std::map<std::string, TimePoint, std::less<>> reporters;
  };

  void SetRole(const PlacementRole& role, TimePoint now);
  /// Begins to place a pool that this host is ranked for; null: it is not.
  PlacementPool* Activate(const PoolKey& key);
  std::unique_ptr<PlacementPool> MakePool(const PoolKey& key);
  void OnMoved(const PlacementRequest& request, TimePoint now);
  bool IsReplaced() const { return !m_replaced_by.empty(); }
  /// Takes over a pool if the hosts before this one do not reply.
  void UpdateClaim(Part& part, TimePoint now);
  bool MayClaim(const Part& part) const;
  /// Ends the confinement once nearly all live hosts have moved here.
  void UpdateConfinement(Part& part, TimePoint now);
  /// Stops placing a pool for which nobody asks this host any more.
  void Deactivate(const Part& part);
  void UpdateParts(TimePoint now);
  /// Number of other live hosts without `except`.
  size_t CountOthers(std::span<const std::string> except) const;
  /// When a live host must be sent the claims; nullopt: it knows them.
  std::optional<TimePoint> ClaimDue(const std::string& host) const;
  void AddClaims(std::vector<std::pair<std::string, PlacementNotice>>& notices,
                 TimePoint now);
  void AddEstimates(Session& session, PlacementReply& reply, TimePoint now);
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
  /// Pools that this host would place if the hosts before it did not reply.
  Pools m_standby;
  std::map<PoolKey, Part> m_parts;
  std::map<std::string, Session, std::less<>> m_sessions;
  std::set<std::string, std::less<>> m_hosts;
  std::set<std::string, std::less<>> m_unresponsive;
  std::set<std::string, std::less<>> m_silent;
  bool m_needs_estimate = false;
  /// Arguments of the latest SetUnsynced().
  TargetLoads m_loads_by_gossip;
  size_t m_gossip_hosts = 0;
  std::set<std::string, std::less<>> m_checks;
  /// The host that took over from this one; empty: none.
  std::string m_replaced_by;
  /// When each host was last sent the claims of this one.
  std::map<std::string, TimePoint, std::less<>> m_claims_sent;
  /// Hosts that have not replied to a notice with the claims yet.
  std::set<std::string, std::less<>> m_claims_in_flight;
  uint64_t m_claims = 0;
};

}  // namespace filbertrack
