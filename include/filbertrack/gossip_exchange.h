#pragma once

/// When an entry host of a large fleet exchanges loads through the relays of
/// its data centre, and with which of them.
///
/// The load that it is made for: a burst that takes all places of a model.
/// While places are free, loads that are half a second old place requests well
/// enough. Once they are taken, each request that is let in by an old load
/// waits behind those that nobody knew of, and makes the ones behind it late.
/// So loads are exchanged rarely at rest, and often while it is busy.

#include <cstddef>
#include <optional>
#include <span>
#include <string>

#include "filbertrack/base_time.h"

namespace filbertrack {

struct LoadExchangePolicy {
  /// Time between two exchanges at rest. Twice this is shorter than loads are
  /// counted for.
  Duration idle_interval = Milliseconds(600);
  /// The same of a relay with the other data centres.
  Duration idle_remote_interval = Milliseconds(300);
  /// While it is busy: a host begins or ends some one request in it.
  Duration loaded_interval = Milliseconds(60);
  /// It is busy from this pressure on: from here on, some targets are full
  /// while others have places.
  double loaded_pressure = 0.5;
  /// Questions that a relay answers in a second: a tenth of half a processor.
  double max_answers_per_s = 300;
};

class LoadExchange {
 public:
  explicit LoadExchange(LoadExchangePolicy policy) : m_policy(policy) {}

  /// `pressure`: the highest of any model, 1 where all places are taken.
  void UpdatePressure(double pressure);
  bool busy() const { return m_busy; }

  /// Time between two exchanges, where so many hosts ask `relays` relays:
  /// those of the data centre, and the relays of the other ones. `is_relay`: of
  /// a relay with the other data centres.
  Duration Interval(size_t requesters, size_t relays, bool is_relay) const;

  /// True if an exchange is due; the next one is due an interval later.
  bool TryBegin(Duration interval, TimePoint now);

  /// The relay to ask now: each in turn, so that each of them hears of this
  /// host, and the loss of one leaves the other. `relays` is not empty.
  const std::string& NextRelay(std::span<const std::string> relays);

 private:
  LoadExchangePolicy m_policy;
  bool m_busy = false;
  std::optional<TimePoint> m_last_start;
  size_t m_next_relay = 0;
};

}  // namespace filbertrack
