#include "filbertrack/groups_lease.h"

namespace filbertrack {

bool MayAct(const LeaseView& view,
            std::string_view self,
            const LeasePolicy& policy,
            TimePoint now) {
  if (view.lease.holder != self || !view.own_write_began) {
    return false;
  }
  return now < *view.own_write_began + policy.duration;
}

bool ShouldRenew(const LeaseView& view,
                 std::string_view self,
                 const LeasePolicy& policy,
                 TimePoint now) {
  // A restarted holder finds its own name in the lease without a write of its
  // own; it must take the lease like any other, with a new fence.
  if (view.lease.holder != self || !view.own_write_began) {
    return false;
  }
  return now >= *view.own_write_began + policy.renew_every;
}

bool MayTake(const LeaseView& view,
             std::string_view self,
             const LeasePolicy& policy,
             Duration rank_delay,
             TimePoint now) {
  if (MayAct(view, self, policy, now)) {
    return false;
  }
  if (view.version == 0) {
    return now >= view.version_first_seen + rank_delay;
  }
  if (view.lease.holder.empty()) {
    // Given back; the last order before that may still be on its way.
    return now >= view.version_first_seen + policy.order_life + rank_delay;
  }
  // The holder may send its last order just before its lease ends, and the
  // order may travel for order_life. An engine that ignores fencing numbers
  // would obey it, so the successor waits until it has arrived.
  return now >= view.version_first_seen + policy.duration + policy.order_life +
                    rank_delay;
}

}  // namespace filbertrack
