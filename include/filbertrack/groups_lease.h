#pragma once

/// The lease on one fabric domain. It stands in the domain's object; time is
/// counted on each controller's own monotonic clock: a holder from the moment
/// it began the write that renewed the lease, a challenger from the moment it
/// first saw the object unchanged. The holder's count starts earlier, so it
/// ends earlier, without any agreement between clocks.

#include <cstdint>
#include <optional>
#include <string_view>

#include "filbertrack/base_time.h"
#include "filbertrack/groups_state.h"

namespace filbertrack {

struct LeasePolicy {
  /// A holder acts for this long after it began its last successful write.
  Duration duration = Seconds(6);
  Duration renew_every = Seconds(2);
  /// An order to an engine may arrive this long after it was sent.
  Duration order_life = Seconds(2);
};

/// What one controller knows of one lease.
struct LeaseView {
  uint64_t version = 0;  ///< Of the object; 0: it does not exist.
  DomainLease lease;
  TimePoint version_first_seen;
  /// Start of this controller's last write that took effect.
  std::optional<TimePoint> own_write_began;
};

/// Whether `self` may send an order now. It must be asked right before each
/// send: a process that was paused between its decision and the send would
/// otherwise send under a lease that another has taken meanwhile.
bool MayAct(const LeaseView& view,
            std::string_view self,
            const LeasePolicy& policy,
            TimePoint now);

bool ShouldRenew(const LeaseView& view,
                 std::string_view self,
                 const LeasePolicy& policy,
                 TimePoint now);

/// Whether `self` may try to take the lease. `rank_delay` spreads the
/// challengers, so that one of them usually wins without a conflict.
bool MayTake(const LeaseView& view,
             std::string_view self,
             const LeasePolicy& policy,
             Duration rank_delay,
             TimePoint now);

}  // namespace filbertrack
