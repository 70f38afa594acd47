#pragma once

/// Schedules the load exchange of an entry host of a large fleet with the
/// relays of its data centre.
///
/// The interval depends on the utilisation. While models have free slots, loads
/// that are half a second old suffice to select targets. During a burst that
/// takes all slots of a model, a request admitted on outdated loads queues
/// behind requests unknown to its host and delays those behind it. Loads are
/// therefore exchanged rarely while the fleet is idle and often under load.

#include <cstddef>
#include <optional>
#include <span>
#include <string>

#include "filbertrack/base_time.h"

namespace filbertrack {

struct LoadExchangePolicy {
  /// Time between two exchanges below `loaded_pressure`. Twice this is at most
  /// FleetGossipPolicy::load_ttl.
  Duration idle_interval = Milliseconds(600);
  /// The same for exchanges of a relay with the other data centres.
  Duration idle_remote_interval = Milliseconds(300);
  /// Minimum time between two exchanges from `loaded_pressure` on. A host
  /// starts or ends about one request in this time.
  Duration loaded_interval = Milliseconds(60);
  /// Pressure from which the short interval applies. From here on, some targets
  /// are full while others have free slots.
  double loaded_pressure = 0.5;
  /// Requests that a relay may receive per second. Answering them takes a tenth
  /// of half a processor.
  double max_answers_per_s = 300;
};

class LoadExchange {
 public:
  explicit LoadExchange(LoadExchangePolicy policy) : m_policy(policy) {}

  /// `pressure` is the highest pressure of any model; 1 means that all slots of
  /// the model are taken.
  void UpdatePressure(double pressure);
  bool busy() const { return m_busy; }

  /// Returns the time between two exchanges if `requesters` hosts share
  /// `relays` relays; `requesters` counts the hosts of the data centre and the
  /// relays of the other data centres. `is_relay` selects the interval of a
  /// relay with the other data centres while the fleet is idle.
  Duration Interval(size_t requesters, size_t relays, bool is_relay) const;

  /// Returns true and starts the next interval if an exchange is due.
  bool TryBegin(Duration interval, TimePoint now);

  /// Returns the relay to send the next request to. Relays take turns, so that
  /// each receives the loads of this host and the failure of one leaves the
  /// others. `relays` must not be empty.
  const std::string& NextRelay(std::span<const std::string> relays);

 private:
  LoadExchangePolicy m_policy;
  bool m_busy = false;
  std::optional<TimePoint> m_last_start;
  size_t m_next_relay = 0;
};

}  // namespace filbertrack
