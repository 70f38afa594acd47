#pragma once

/// Interface between the relays of an entry host and the placement of requests
/// by one host for all.

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "filbertrack/dispatch_selector.h"
#include "filbertrack/placement_message.h"
#include "filbertrack/settings.h"
#include "filbertrack/site_catalog.h"

namespace filbertrack {

/// Decision on an ask.
struct PlacementDecision {
  std::variant<PlacementGrant, PlacementRefusal, ChooseLocally> decision;
  /// Entry host that was asked.
  std::string by;
  /// Position in the queue when the ask was first queued; 0 if it was not.
  int position = 0;
};

class RequestPlacer {
 public:
  using OnDecision = std::function<void(const PlacementDecision&)>;

  virtual ~RequestPlacer() = default;

  /// Whether placement is on for the requests of this service and model.
  virtual bool Places(std::string_view service,
                      std::string_view model) const = 0;
  /// Id of the next ask, or of a request that is sent without one.
  virtual uint64_t NextId() = 0;
  /// Asks for a place. `on_decision` is called later, from the event loop, and
  /// at most once. Returns false, without calling it, if the caller must choose
  /// a target itself, at once.
  virtual bool TryAsk(PlacementAsk ask, OnDecision on_decision) = 0;
  /// Withdraws an ask without a decision, or a grant that is not used.
  virtual void Withdraw(uint64_t id) = 0;
  virtual void Report(const PoolKey& pool, PlacementEvent event) = 0;
  /// A grant could not be used, so the relay chose a target itself.
  virtual void OnGrantUnused() = 0;

  // Changes of the entry host.
  virtual void OnTargets(std::span<const DispatchTarget> targets,
                         const Catalog& catalog) = 0;
  virtual void OnSettings(const Settings& settings) = 0;
  virtual void Drain() = 0;
};

}  // namespace filbertrack
