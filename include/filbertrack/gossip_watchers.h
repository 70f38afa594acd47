#pragma once

/// Whether an entry host watches the store for the others.
///
/// The load that it is made for: a fleet that starts at one moment. Listings
/// of the hosts may be seconds old and show a part of them, and to hear of all
/// takes the longer the more there are. A host that chose among those that it
/// knows would find itself among the first, and so would nearly every other:
/// each of them would list the store and be told each change by it.

#include <span>

#include "filbertrack/base_time.h"
#include "filbertrack/gossip_message.h"

namespace filbertrack {

struct WatchPolicy {
  /// Entry hosts that watch the store, at least. Four: with a third of the
  /// hosts cut off from it, all four are in one run of a hundred, and then the
  /// next ones watch as soon as they hear so.
  size_t watchers = 4;
  /// After its start a host watches only after this over its capacity: the
  /// weaker it is, the surer that stronger ones do, whether it has heard of
  /// them yet or not.
  Duration weak_host_delay = Seconds(8);
  /// In a fleet that starts for the first time, when no host is listed yet,
  /// hosts that are as strong as each other begin over this time, in the order
  /// in which they would be chosen: listings of the others are that old at the
  /// most.
  Duration first_start_spread = Seconds(3);
  /// No host waits longer: none may be stronger.
  Duration max_wait = Seconds(4);
  /// So long after the start hosts that are listed count as there though they
  /// were not heard, unless half of them were.
  Duration listed_grace_period = Seconds(8);
};

/// What a host knows as it decides.
struct WatchView {
  FleetHost own;
  Duration since_start{0};
  /// The whole fleet starts for the first time.
  bool first_start = false;
  /// The list of hosts was read.
  bool has_list = false;
  /// Other hosts that are listed, but for those that do not answer.
  std::span<const FleetHost> listed;
  /// Other hosts that were heard of lately.
  std::span<const FleetHost> live;
};

bool ShouldWatch(const WatchView& view, const WatchPolicy& policy);

}  // namespace filbertrack
