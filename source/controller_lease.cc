#include <algorithm>

#include <nlohmann/json.hpp>

#include "controller_domain.h"
#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

/// Acquisition and renewal of the controller's leases.

namespace filbertrack {

namespace {

/// Competing controllers spread their attempts over this fraction of the lease
/// duration.
constexpr double kRankSpreadFactor = 0.3;
constexpr uint64_t kRankSteps = 1000;
/// Controllers of other data centres wait this many lease durations longer.
constexpr double kRemoteDelayFactor = 4;

}  // namespace

bool Controller::MayActOn(const Domain& domain) const {
  return MayAct(domain.ownership, m_node, m_keeper, m_lease_policy,
                MonotonicNow());
}

bool Controller::HoldsAnyLease() const {
  return std::any_of(m_domains.begin(), m_domains.end(),
                     [this](const auto& row) {
                       return row.second->ownership.lease.holder == m_node;
                     });
}

/// Renews the heartbeat object, which shows that this controller is alive. The
/// value changes with each write, so that reading it back after a lost response
/// shows whether the write took effect.
void Controller::Heartbeat() {
  if (m_heartbeat_writing || m_stopping) {
    return;
  }
  m_heartbeat_writing = true;
  const TimePoint began = MonotonicNow();
  const std::string key = std::string(kHeartbeatPrefix) + m_node;
  const std::string text = m_incarnation + " " + std::to_string(++m_heartbeats);
  m_store.Put(
      key, text, m_heartbeat_version,
      [this, key, text, began](const StoreResponse& response) {
        if (response.status == StoreStatus::kOk) {
          OnHeartbeat(response.object.version, began, true);
          return;
        }
        m_store.Get(key, [this, text, began](const StoreResponse& read) {
          const bool known = read.status == StoreStatus::kOk;
          OnHeartbeat(known ? read.object.version : m_heartbeat_version, began,
                      known && read.object.value == text);
        });
      });
}

void Controller::OnHeartbeat(uint64_t version, TimePoint began, bool written) {
  m_heartbeat_writing = false;
  m_heartbeat_version = version;
  if (written) {
    m_keeper.OnWritten(began, m_lease_policy, MonotonicNow());
  }
}

Duration Controller::RankDelay(const Domain& domain) const {
  const double rank =
      static_cast<double>(RendezvousWeight(domain.hosts.domain, m_node) %
                          kRankSteps) /
      kRankSteps;
  // Controllers in the data centre of the domain's hosts go first.
  const bool is_local =
      domain.hosts.data_centre == m_settings.Text("node", "data_centre");
  const double factor =
      (is_local ? 0 : kRemoteDelayFactor) + rank * kRankSpreadFactor;
  return Duration(static_cast<int64_t>(
      factor * static_cast<double>(m_lease_policy.duration.count())));
}

void Controller::TryAcquireLease(Domain& domain) {
  const TimePoint now = MonotonicNow();
  const std::string& holder = domain.state.lease.holder;
  const bool held_by_other = !holder.empty() && holder != m_node;
  // Reads the holder's heartbeat once when the holder is new, and once when its
  // lease may have expired since. More reads would only add load on the store.
  const TimePoint due = domain.holder.first_seen + m_lease_policy.duration +
                        m_lease_policy.order_ttl + RankDelay(domain);
  const bool is_new = domain.holder.holder != holder;
  const bool is_due = now >= due && domain.holder.last_read < due;
  if (held_by_other && !domain.reading_holder_heartbeat && (is_new || is_due)) {
    ReadHolderHeartbeat(domain);
    return;
  }
  // A restarted controller finds its own name in the lease. It still waits for
  // `order_ttl`, because an order of its previous process may be in transit.
  const bool may_acquire =
      holder == m_node
          ? now >= domain.lease_seen + m_lease_policy.order_ttl
          : MayAcquire(domain.state.lease, domain.lease_seen, domain.holder,
                       m_lease_policy, RankDelay(domain), now);
  if (!may_acquire) {
    return;
  }
  if (!m_keeper.IsHeld(m_lease_policy, now)) {
    Heartbeat();
    return;
  }
  AcquireLease(domain);
}

void Controller::ReadHolderHeartbeat(Domain& domain) {
  domain.reading_holder_heartbeat = true;
  const std::string holder = domain.state.lease.holder;
  m_store.Get(std::string(kHeartbeatPrefix) + holder,
              [this, name = domain.hosts.domain,
               holder](const StoreResponse& response) {
                Domain& read = *m_domains.find(name)->second;
                read.reading_holder_heartbeat = false;
                // Without a response the holder's state is unknown: an
                // unavailable store must not make a live holder appear dead.
                if (response.status == StoreStatus::kOk ||
                    response.status == StoreStatus::kNotFound) {
                  ObserveHolder(read.holder, holder, response.object.version,
                                MonotonicNow());
                }
              });
}

void Controller::AcquireLease(Domain& domain) {
  DomainState next = domain.state;
  next.lease = {m_node, next.lease.fence + 1};
  Log(LogLevel::kInfo, "lease-wanted",
      {{"domain", domain.hosts.domain}, {"fence", next.lease.fence}});
  Write(domain, next);
}

}  // namespace filbertrack
