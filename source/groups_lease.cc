#include "filbertrack/groups_lease.h"

namespace filbertrack {

void LeaseKeeper::OnWritten(TimePoint began,
                            const LeasePolicy& policy,
                            TimePoint now) {
  if (!IsHeld(policy, now)) {
    ++m_term;
  }
  m_write_began = began;
}

bool LeaseKeeper::IsHeld(const LeasePolicy& policy, TimePoint now) const {
  return m_write_began && now < *m_write_began + policy.duration;
}

bool LeaseKeeper::ShouldRenew(const LeasePolicy& policy, TimePoint now) const {
  return !m_write_began || now >= *m_write_began + policy.renew_every;
}

void ObserveHolder(HolderView& view,
                   std::string_view holder,
                   uint64_t version,
                   TimePoint now) {
  if (view.holder != holder || view.version != version) {
    view.holder = holder;
    view.version = version;
    view.first_seen = now;
  }
  view.last_read = now;
}

bool MayAct(const DomainOwnership& ownership,
            std::string_view self,
            const LeaseKeeper& keeper,
            const LeasePolicy& policy,
            TimePoint now) {
  // A holder that was paused past the end of its lease and then renewed its
  // heartbeat has a new term. Another controller may hold the domain by then,
  // so it must acquire the domain's object again, with a new fence, before it
  // acts.
  return ownership.lease.holder == self &&
         ownership.verified_term == keeper.term() && keeper.IsHeld(policy, now);
}

bool MayAcquire(const DomainLease& lease,
                TimePoint lease_seen,
                const HolderView& view,
                const LeasePolicy& policy,
                Duration rank_delay,
                TimePoint now) {
  if (lease.fence == 0) {
    return now >= lease_seen + rank_delay;
  }
  if (lease.holder.empty()) {
    // Released; the last order before the release may still be in transit.
    return now >= lease_seen + policy.order_ttl + rank_delay;
  }
  // The holder may send its last order just before its lease ends, and the
  // order may be in transit for order_ttl. An engine that ignores fencing
  // numbers would obey it, so the successor waits until it has arrived. The
  // heartbeat must have been read after that time: an earlier reading does not
  // rule out a renewal since.
  const TimePoint earliest =
      view.first_seen + policy.duration + policy.order_ttl + rank_delay;
  return view.holder == lease.holder && view.last_read >= earliest;
}

}  // namespace filbertrack
