#pragma once

/// Leases on fabric domains. A domain's object names the lease holder and its
/// fencing number. Whether the holder is alive shows in a heartbeat object, one
/// per controller, so that renewals neither write domain objects nor wake their
/// watchers. Each controller measures time on its own monotonic clock: a holder
/// from the start of its last successful heartbeat write, a challenger from
/// when it read that heartbeat. The holder's period starts earlier and so ends
/// earlier; the clocks need not agree.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"
#include "filbertrack/groups_state.h"

namespace filbertrack {

inline constexpr std::string_view kHeartbeatPrefix = "controllers/";

struct LeasePolicy {
  /// How long a holder may act after the start of its last successful heartbeat
  /// write.
  Duration duration = Seconds(6);
  Duration renew_every = Seconds(2);
  /// Maximum delay between sending an order to an engine and its arrival.
  Duration order_ttl = Seconds(2);
};

/// A controller's own lease: one heartbeat covers all the domains that it
/// holds.
class LeaseKeeper {
 public:
  /// A heartbeat write that was started at `began` is confirmed at `now`.
  void OnWritten(TimePoint began, const LeasePolicy& policy, TimePoint now);

  bool IsHeld(const LeasePolicy& policy, TimePoint now) const;

  bool ShouldRenew(const LeasePolicy& policy, TimePoint now) const;

  /// Incremented when the lease is regained after it had expired. A domain that
  /// was verified in an earlier term may have been acquired by another
  /// controller since.
  uint64_t term() const { return m_term; }

 private:
  std::optional<TimePoint> m_write_began;
  uint64_t m_term = 0;
};

/// A challenger's observations of a holder's heartbeat.
struct HolderView {
  std::string holder;
  uint64_t version = 0;
  TimePoint first_seen;  ///< When this version was first read.
  TimePoint last_read;
};

void ObserveHolder(HolderView& view,
                   std::string_view holder,
                   uint64_t version,
                   TimePoint now);

/// A controller's claim to one domain.
struct DomainOwnership {
  DomainLease lease;
  /// `LeaseKeeper::term()` when this controller last wrote the domain's object;
  /// 0: never.
  uint64_t verified_term = 0;
};

/// Whether `self` may write the domain's object or send an order now. Must be
/// called right before each send: a process that was paused between its
/// decision and the send would otherwise act on a lease that another controller
/// has acquired.
bool MayAct(const DomainOwnership& ownership,
            std::string_view self,
            const LeaseKeeper& keeper,
            const LeasePolicy& policy,
            TimePoint now);

/// Whether the domain's lease may be acquired, given the observations `view` of
/// its holder's heartbeat. `rank_delay` staggers the challengers, so that one
/// of them usually wins without a conflict. `lease_seen` is when the current
/// lease was first seen.
bool MayAcquire(const DomainLease& lease,
                TimePoint lease_seen,
                const HolderView& view,
                const LeasePolicy& policy,
                Duration rank_delay,
                TimePoint now);

}  // namespace filbertrack
