#pragma once

/// Decides whether an entry host watches the store on behalf of the others.
///
/// The decision is designed for a fleet whose hosts all start at once. Host
/// listings may then be seconds old and incomplete, and gossip takes longer to
/// reach all hosts the more there are. If each host chose watchers among the
/// hosts that it knows, nearly every host would choose itself, list the store
/// and receive each change from it.

#include <span>

#include "filbertrack/base_time.h"
#include "filbertrack/gossip_message.h"

namespace filbertrack {

struct WatchPolicy {
  /// Minimum number of entry hosts that watch the store. With a third of the
  /// hosts cut off from the store, all four watchers are cut off in one of a
  /// hundred cases; the next hosts then take over as soon as gossip reports it.
  size_t watchers = 4;
  /// A host does not watch before this time divided by its capacity has passed
  /// since its start, at most `max_wait`. The weaker a host is, the more likely
  /// stronger ones watch, even if none of their messages has arrived yet.
  Duration weak_host_delay = Seconds(8);
  /// When a fleet starts for the first time, no host is listed yet. Hosts of
  /// the same capacity class then begin to watch spread over this time, in the
  /// order in which they would be chosen. It equals the maximum age of a
  /// listing.
  Duration first_start_spread = Seconds(3);
  /// Maximum wait, since there may be no stronger host.
  Duration max_wait = Seconds(4);
  /// For this time after the start, listed hosts count as alive even if no
  /// message of them was received, until messages of half of them were.
  Duration listed_grace_period = Seconds(8);
};

/// Input of the decision: what a host knows of the fleet.
struct WatchView {
  FleetHost own;
  Duration since_start{0};
  /// The whole fleet starts for the first time.
  bool first_start = false;
  /// The list of hosts has been read.
  bool has_list = false;
  /// Other listed hosts, without those that do not answer requests.
  std::span<const FleetHost> listed;
  /// Other live hosts according to gossip.
  std::span<const FleetHost> live;
};

/// Returns whether the host watches the store: it is one of the watchers, or
/// replaces one that cannot reach the store.
bool ShouldWatch(const WatchView& view, const WatchPolicy& policy);

}  // namespace filbertrack
