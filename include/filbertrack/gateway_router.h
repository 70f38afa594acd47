#pragma once

/// Requests in flight on one entry host. Finds a target for each, queues those
/// for which no target has capacity, and counts the requests in flight to each
/// target.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "filbertrack/admission_limits.h"
#include "filbertrack/admission_queue.h"
#include "filbertrack/fleet_view.h"
#include "filbertrack/gateway_relay.h"
#include "filbertrack/metrics.h"
#include "filbertrack/request_retry_budget.h"
#include "filbertrack/settings.h"

namespace filbertrack {

class GatewayRouter : public RelayHost {
 public:
  using OnEnd = std::function<void(const RelayResult& result)>;

  GatewayRouter(EventLoop& loop,
                const Settings& settings,
                FleetView& fleet,
                const AdmissionLimits& limits,
                Metrics& metrics);
  ~GatewayRouter() override;

  /// Starts a request that has been admitted.
  void Start(CallerRequest request,
             std::string request_id,
             std::shared_ptr<HttpExchange> exchange,
             OnEnd on_end);

  size_t in_flight() const { return m_relays.size(); }

  /// Must be called when the evidence about a group has changed.
  void NotifyGroup(const std::string& group);
  /// Must be called when the groups themselves have changed.
  void NotifyAll();

  void Seek(uint64_t relay, bool is_retry) override;
  void CancelSeek(uint64_t relay) override;
  TargetCheck Check(const AttemptTarget& target,
                    TimePoint arrived,
                    TimePoint now) override;
  void AttemptStarted(uint64_t relay, const AttemptTarget& target) override;
  void LoadSeen(const AttemptTarget& target, std::string_view load) override;
  void FirstToken(const AttemptTarget& target, Duration measured) override;
  void AttemptEnded(uint64_t relay,
                    const AttemptTarget& target,
                    bool failed,
                    Duration measured,
                    const ForwardSpan& forwarded) override;
  void Ended(uint64_t relay, RelayResult result) override;

 private:
  struct OpenRelay {
    std::unique_ptr<Relay> relay;
    OnEnd on_end;
  };

  Relay* FindRelay(uint64_t id);
  void NotifyRelays(std::span<const uint64_t> ids);
  RouteQuery QueryFor(const Relay& relay) const;
  /// Assigns a target to the relay. If none is available now, returns false and
  /// stores the reason in `denial`.
  bool TryRoute(Relay& relay, RouteDenial* denial);
  void Enqueue(Relay& relay, const RouteDenial& denial);
  FairQueue& QueueFor(const std::string& name);
  void DrainQueues();
  void LogForwarded(uint64_t relay,
                    const AttemptTarget& target,
                    const ForwardSpan& forwarded);
  void RefuseUnservable(FairQueue& queue, TimePoint now);

  EventLoop& m_loop;
  FleetView& m_fleet;
  const AdmissionLimits& m_limits;
  Metrics& m_metrics;
  HttpClient m_upstream;
  std::string m_data_centre;
  size_t m_max_waiting;
  Duration m_wait_for_group;
  RoutePolicy m_route_policy;
  RouteLimits m_route_limits;
  EvidenceMode m_evidence_mode = EvidenceMode::kBound;
  RequestPolicy m_request_policy;
  RetryBudget m_retries;
  std::mt19937_64 m_random;

  uint64_t m_last_relay_id = 0;
  std::map<uint64_t, OpenRelay> m_relays;
  std::map<std::string, std::set<uint64_t>, std::less<>> m_relays_of_target;
  std::map<std::string, FairQueue, std::less<>> m_queues;
  std::map<uint64_t, std::string> m_queue_of_relay;
  std::unique_ptr<Timer> m_queue_timer;
};

}  // namespace filbertrack
