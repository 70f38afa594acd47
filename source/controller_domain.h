#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "filbertrack/controller.h"

namespace filbertrack {

/// State of one fabric domain as this controller knows it.
struct Controller::Domain {
  DomainHosts hosts;
  DomainState state;
  uint64_t version = 0;
  TimePoint lease_seen;
  DomainOwnership ownership;
  HolderView holder;
  bool reading_holder_heartbeat = false;
  HostViews views;
  struct ObservedPhase {
    uint64_t epoch = 0;
    GroupPhase phase = GroupPhase::kLoading;
  };
  std::map<std::string, ObservedPhase> observed_phases;
  std::map<std::string, TimePoint> phase_since;
  /// Orders in flight, at most one for each host.
  std::map<std::string, std::unique_ptr<HttpCall>> orders;
  bool writing = false;
  /// Start of the current uninterrupted time in which this controller has held
  /// the lease.
  std::optional<TimePoint> lease_held_since;
};

}  // namespace filbertrack
