#pragma once

/// Chooses the entry host to which a host that reaches no backend server
/// forwards a request.

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "filbertrack/base_address.h"
#include "filbertrack/base_time.h"

namespace filbertrack {

/// Another entry host that understands forwarded requests.
struct ForwardPeer {
  std::string name;
  std::string data_centre;
  /// Empty: there is only one.
  std::string region;
  /// Address for forwarded requests.
  Address address;
  /// Identifies the peer's process; part of what authenticates a request.
  std::string token;
};

struct ForwardQuery {
  std::string_view service;
  /// Hosts that this request was forwarded to already; null: none.
  const std::set<std::string, std::less<>>* excluded = nullptr;
  /// Regions that the route and the workspace allow; empty: any.
  std::span<const std::string> route_regions;
  std::span<const std::string> workspace_regions;
};

struct ForwardPolicy {
  /// A host that refused a request, or could not be reached, gets no other one
  /// for the same service for this long.
  Duration refusal_pause = Milliseconds(300);
  /// Reports older than this are not used: several gossip rounds.
  Duration report_ttl = Milliseconds(1500);
  /// How much more work a host of the local data centre gets than others.
  size_t local_weight = 2;
};

class ForwardChoice {
 public:
  ForwardChoice(std::string data_centre, ForwardPolicy policy)
      : m_data_centre(std::move(data_centre)), m_policy(policy) {}

  /// A peer reported whether it accepts forwarded requests.
  void OnReport(ForwardPeer peer, bool accepts, TimePoint now);
  /// A request for the service was refused by the peer, or did not reach it.
  void OnRefused(std::string_view name,
                 std::string_view service,
                 TimePoint now);
  void OnSent(std::string_view name);
  void OnEnded(std::string_view name);

  /// Returns the eligible peer with the fewest requests of this host; null if
  /// there is none.
  const ForwardPeer* Choose(const ForwardQuery& query, TimePoint now) const;

 private:
  struct Entry {
    ForwardPeer peer;
    bool accepts = false;
    TimePoint reported;
    /// Time until which it gets no requests for a service.
    std::map<std::string, TimePoint, std::less<>> paused_until;
    size_t requests = 0;
  };

  std::string m_data_centre;
  ForwardPolicy m_policy;
  std::map<std::string, Entry, std::less<>> m_peers;
};

}  // namespace filbertrack
