#pragma once

/// The lease on the groups: the one entry host that holds it gives orders. It
/// is one record of the store, renewed by conditional writes.
///
/// A fence is held for one uninterrupted time only. A holder whose lease lapsed
/// takes the next fence, also where nobody else took the lease meanwhile:
/// epochs of groups begin with the fence, and what was planned under it is
/// forgotten when the lease is lost. Were a fence held twice, an epoch could be
/// given to two groups with other members, and their members would look like
/// one group that is whole.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "filbertrack/entry_ports.h"
#include "filbertrack/groups_lease.h"

namespace filbertrack {

/// In the name of a holder, between the entry host and the start of its
/// process.
inline constexpr char kHolderSeparator = '#';

class EntryLease {
 public:
  using Clock = std::function<TimePoint()>;

  struct Events {
    std::function<void()> gained;
    std::function<void()> lost;
  };

  /// `holder` names the entry host and this start of its process, and no other.
  EntryLease(std::string holder,
             const LeasePolicy& policy,
             RecordStore& records,
             Clock clock,
             Events events);
  ~EntryLease();

  /// Renews the lease, or, where `may_stand`, takes it if nobody holds it. What
  /// an earlier process of this entry host held is taken in any case.
  void Tick(bool may_acquire);

  /// Gives the lease back, so that a successor need not wait.
  void Release();

  bool IsHeld() const;
  uint64_t fence() const { return m_lease.fence; }
  uint64_t version() const { return m_version; }
  const std::string& holder() const { return m_lease.holder; }

 private:
  bool HasCallInFlight(TimePoint now) const;
  void Read();
  void OnRead(const StoreResponse& answer);
  void Write(const DomainLease& lease);
  void OnWritten(const DomainLease& lease,
                 TimePoint write_start,
                 const StoreResponse& answer);
  void OnConfirmed(const DomainLease& lease, TimePoint write_start);
  /// False where the record cannot be read, or is older than what is known.
  bool ApplyRecord(const StoredObject& record);

  std::string m_holder;
  LeasePolicy m_policy;
  RecordStore& m_records;
  Clock m_clock;
  Events m_events;
  LeaseKeeper m_keeper;
  DomainLease m_lease;
  HolderView m_holder_view;
  uint64_t m_version = 0;
  TimePoint m_lease_seen;
  /// The latest fence that this process was confirmed to hold; 0: none.
  uint64_t m_confirmed_fence = 0;
  uint64_t m_heartbeat = 0;
  /// The call that is waited for.
  std::optional<TimePoint> m_call_start;
  /// Beginning of the earliest write since `m_version` that was not answered.
  std::optional<TimePoint> m_unanswered_since;
  TimePoint m_last_read;
  bool m_may_acquire = false;
  bool m_was_read = false;
  Duration m_rank_delay{0};
  /// `gained` was told, and `lost` was not since.
  bool m_reported_held = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack
