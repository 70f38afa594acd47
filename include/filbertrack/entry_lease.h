#pragma once

/// Lease on the groups: only the entry host that holds it sends orders. The
/// lease is a single record in the store, renewed by compare-and-set writes.
///
/// A fence (fencing token) is valid for one uninterrupted tenure. A holder
/// whose lease expired acquires it again with the next fence, even if no other
/// host held it in the meantime. Group epochs start with the fence, and the
/// planner's memory is discarded when the lease is lost. If a fence were used
/// in two tenures, two groups with different members could get the same epoch,
/// and their members would look like one complete group.

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "filbertrack/entry_ports.h"
#include "filbertrack/groups_lease.h"

namespace filbertrack {

/// Separates the entry host's name from the start time of its process in the
/// name of a holder.
inline constexpr char kHolderSeparator = '#';

class EntryLease {
 public:
  using Clock = std::function<TimePoint()>;

  struct Events {
    std::function<void()> gained;
    /// Called once a tenure has ended: from the next Tick(), or before `gained`
    /// of the next tenure.
    std::function<void()> lost;
  };

  /// `holder` identifies this process: the entry host's name,
  /// kHolderSeparator, and the start time of the process.
  EntryLease(std::string holder,
             const LeasePolicy& policy,
             RecordStore& records,
             Clock clock,
             Events events);
  ~EntryLease();

  /// Renews the lease if it is held and a renewal is due. Otherwise reads the
  /// record and, if `may_acquire`, acquires the lease if it is free or expired.
  /// A lease of an earlier process of this entry host is acquired in any case.
  void Tick(bool may_acquire);

  /// Releases the lease, so that the next holder need not wait for it to
  /// expire. Does nothing if it is not held.
  void Release();

  /// Whether this process holds the lease now, by its own clock.
  bool IsHeld() const;
  uint64_t fence() const { return m_lease.fence; }
  uint64_t version() const { return m_version; }
  const std::string& holder() const { return m_lease.holder; }

 private:
  /// Whether a store call is unanswered and has not timed out.
  bool HasCallInFlight(TimePoint now) const;
  void Read();
  void OnRead(const StoreResponse& answer);
  void Write(const DomainLease& lease);
  void OnWritten(const DomainLease& lease,
                 TimePoint write_start,
                 const StoreResponse& answer);
  /// A write that was started at `write_start` took effect: this process holds
  /// `lease` from `write_start` for the lease duration, unless its lease with
  /// this fence has expired in the meantime.
  void OnConfirmed(const DomainLease& lease, TimePoint write_start);
  /// Updates the known state of the lease from the record. False if the record
  /// is malformed or older than the known version.
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
  /// Latest fence with which this process was confirmed as holder; 0: none.
  uint64_t m_confirmed_fence = 0;
  /// Number of writes by this process; a field of the record.
  uint64_t m_heartbeat = 0;
  /// Start of the store call in flight; nullopt if there is none.
  std::optional<TimePoint> m_call_start;
  /// Start of the earliest unanswered write since `m_version`.
  std::optional<TimePoint> m_unanswered_since;
  TimePoint m_last_read;
  bool m_may_acquire = false;
  bool m_was_read = false;
  /// Time that this host waits longer than required before it acquires the
  /// lease of another holder; spreads the challengers.
  Duration m_rank_delay{0};
  /// The latest event reported was `gained`.
  bool m_reported_held = false;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack
