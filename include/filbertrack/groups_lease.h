#pragma once

/// Leases on fabric domains. A domain's object names its holder and the
/// holder's fencing number; whether the holder lives shows in one heartbeat
/// object a controller, so that renewals touch no domain object and none of its
/// watchers. Time is counted on each controller's own monotonic clock: a holder
/// from the moment it began its last successful heartbeat, a challenger from
/// the moment it read that heartbeat. The holder's count starts earlier, so it
/// ends earlier, without any agreement between clocks.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"
#include "filbertrack/groups_state.h"

namespace filbertrack {

inline constexpr std::string_view kHeartbeatPrefix = "controllers/";

struct LeasePolicy {
  /// A holder acts for this long after it began its last successful heartbeat.
  Duration duration = Seconds(6);
  Duration renew_every = Seconds(2);
  /// An order to an engine may arrive this long after it was sent.
  Duration order_ttl = Seconds(2);
};

/// A controller's own lease: one heartbeat for all the domains it holds.
class LeaseKeeper {
 public:
  /// A heartbeat that was begun at `began` is known at `now` to have taken
  /// effect.
  void OnWritten(TimePoint began, const LeasePolicy& policy, TimePoint now);

  bool IsHeld(const LeasePolicy& policy, TimePoint now) const;

  bool ShouldRenew(const LeasePolicy& policy, TimePoint now) const;

  /// Changes whenever the lease had lapsed. A domain that was verified in an
  /// earlier term may have been taken by another controller since.
  uint64_t term() const { return m_term; }

 private:
  std::optional<TimePoint> m_write_began;
  uint64_t m_term = 0;
};

/// What a challenger has read of a holder's heartbeat.
struct HolderView {
  std::string holder;
  uint64_t version = 0;
  TimePoint first_seen;  ///< Of this version.
  TimePoint last_read;
};

void ObserveHolder(HolderView& view,
                   std::string_view holder,
                   uint64_t version,
                   TimePoint now);

/// A controller's hold on one domain.
struct DomainOwnership {
  DomainLease lease;
  /// Term of the keeper in which this controller last wrote the domain's
  /// object; 0: never.
  uint64_t verified_term = 0;
};

/// Whether `self` may write the domain or send an order now. It must be asked
/// right before each send: a process that was paused between its decision and
/// the send would otherwise send under a lease that another has taken.
bool MayAct(const DomainOwnership& ownership,
            std::string_view self,
            const LeaseKeeper& keeper,
            const LeasePolicy& policy,
            TimePoint now);

/// Whether the domain may be taken from its holder, whose heartbeat `view` was
/// read just now. `rank_delay` spreads the challengers, so that one of them
/// usually wins without a conflict. `lease_seen` is when the domain's present
/// lease was first seen.
bool MayAcquire(const DomainLease& lease,
                TimePoint lease_seen,
                const HolderView& view,
                const LeasePolicy& policy,
                Duration rank_delay,
                TimePoint now);

}  // namespace filbertrack
