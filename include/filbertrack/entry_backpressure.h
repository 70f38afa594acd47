#pragma once

/// What an entry host knows of the load that backend servers ask for, from
/// their answers and from other entry hosts.

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
  /// `first_revision` as in LimitLedger.
  EntryBackpressure(std::string own, uint64_t first_revision)
      : m_state(std::move(own), {}, first_revision) {}

  /// The head of an answer of the target, to a request sent at `sent`.
  void OnAnswer(const DispatchTarget& target,
                const AnswerFacts& facts,
                TimePoint sent,
                TimePoint now);
  /// The target is cold until then and bears so many requests a second.
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

  /// The other entry hosts that are heard, or known from the store.
  void SetFleet(std::span<const std::string> hosts, TimePoint now) {
    m_state.SetFleet(hosts, now);
  }

  /// For the choice of a target; null: no server asks for anything.
  const Backpressure* Active() const {
    return m_state.IsIdle() ? nullptr : &m_state;
  }

  /// Requests a second that the target takes from all entry hosts; nullopt: it
  /// names no limit.
  std::optional<double> LimitOf(const DispatchTarget& target) const {
    return m_state.LimitOf(InstanceOf(target));
  }

  /// Servers that name a limit, ask this host for rest, or leave.
  size_t CountLimited() const { return m_state.CountLimited(); }
  size_t CountBackingOff(TimePoint now) const {
    return m_state.CountBackingOff(now);
  }
  size_t CountLeaving() const { return m_state.CountLeaving(); }
  /// Servers that are cold.
  size_t CountCold(TimePoint now) const { return m_state.CountCold(now); }

  /// What the peer lacks that knows this host's words up to `known`.
  LimitUpdate Since(uint64_t known, TimePoint now) const {
    return m_state.Since(known, now);
  }

 private:
  Backpressure m_state;
};

}  // namespace filbertrack
