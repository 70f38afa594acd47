#pragma once

/// Applies the rate limits, back-offs, departures and cold starts that backend
/// servers signal in their response headers, together with the limits that
/// other entry hosts report, to the choice of a target. Changes are logged.

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "filbertrack/backpressure.h"
#include "filbertrack/dispatch_selector.h"
#include "filbertrack/entry_ports.h"

namespace filbertrack {

class EntryBackpressure {
 public:
  /// `own` is the name of this entry host; `first_revision` as in LimitLedger.
  EntryBackpressure(std::string own, uint64_t first_revision)
      : m_state(std::move(own), {}, first_revision) {}

  /// Takes in the response headers of the target to a request sent at `sent`.
  void OnAnswer(const DispatchTarget& target,
                const AnswerFacts& facts,
                TimePoint sent,
                TimePoint now);
  /// Limits the target to `per_second` requests a second, over all entry
  /// hosts, until `until`, while its caches are cold.
  void OnCold(const DispatchTarget& target,
              double per_second,
              TimePoint until,
              TimePoint now);
  void OnPeerUpdate(const LimitUpdate& update,
                    std::string_view peer,
                    TimePoint now);
  void OnSent(const DispatchTarget& target, TimePoint now) {
    m_state.OnSent(InstanceOf(target), now);
  }

  /// Sets the other entry hosts that share the rate limits: those reachable by
  /// gossip or known from the store.
  void SetFleet(std::span<const std::string> hosts, TimePoint now) {
    m_state.SetFleet(hosts, now);
  }

  /// Constraints for the choice of a target; null if no server has signalled
  /// any.
  const Backpressure* Active() const {
    return m_state.IsIdle() ? nullptr : &m_state;
  }

  /// Requests a second that the target accepts from all entry hosts together;
  /// nullopt if it has sent no limit.
  std::optional<double> LimitOf(const DispatchTarget& target) const {
    return m_state.LimitOf(InstanceOf(target));
  }

  /// Number of servers with a rate limit, of servers that asked this host to
  /// back off, and of servers that are shutting down.
  size_t CountLimited() const { return m_state.CountLimited(); }
  size_t CountBackingOff(TimePoint now) const {
    return m_state.CountBackingOff(now);
  }
  size_t CountLeaving() const { return m_state.CountLeaving(); }
  size_t CountCold(TimePoint now) const { return m_state.CountCold(now); }

  /// Limit records newer than revision `known`, for a peer that has all up to
  /// it.
  LimitUpdate Since(uint64_t known, TimePoint now) const {
    return m_state.Since(known, now);
  }

 private:
  Backpressure m_state;
};

}  // namespace filbertrack
