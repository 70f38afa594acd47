#pragma once

/// Communication of an entry host with the others: membership, exchange of
/// evidence and objects, loans, the division of entitlements, and the check
/// whether this host's configuration may be out of date.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "filbertrack/admission_division.h"
#include "filbertrack/config_generation.h"
#include "filbertrack/exchange.h"
#include "filbertrack/peer_link.h"
#include "filbertrack/settings.h"
#include "filbertrack/store_watch.h"

namespace filbertrack {

struct GatewayPeerEvents {
  std::function<void()> on_objects;
  std::function<void(const std::vector<std::string>& groups)> on_evidence;
  /// The set of live entry hosts changed, so that this host may have to watch
  /// other objects and members.
  std::function<void()> on_membership;
  /// Operations on idempotency keys from another entry host.
  std::function<void(KeyedRequest request,
                     std::function<void(KeyedReply)> reply)>
      on_keyed;
};

class GatewayPeers {
 public:
  GatewayPeers(EventLoop& loop,
               const Settings& settings,
               StoreClient& store,
               ObjectCache& cache,
               FleetView& fleet,
               EntitlementParts& parts,
               GatewayPeerEvents events);
  ~GatewayPeers();

  Result<Address> Listen();

  PeerTable& table() { return m_table; }
  const PeerTable& table() const { return m_table; }

  /// Must be called after a change of the cache. Applies a newer division of
  /// the entitlements.
  void OnObjects();

  void SetGeneration(uint64_t generation);
  void SetLeaving();

  /// Returns this host's share of every entitlement, from 0 to 1.
  double Share(TimePoint now) const;

  /// Returns whether a newer configuration may have been accepted without this
  /// host having received it: neither peers nor the store has recently
  /// confirmed that this host's generation is the latest.
  bool MayBeBehind(TimePoint now) const;

  /// Sends operations on idempotency keys to the peer `node`. `done` receives
  /// null if the peer is unknown, a request to it is in flight already, or it
  /// sends no valid reply within `timeout`.
  void SendKeyedRequest(const std::string& node,
                        const KeyedRequest& request,
                        Duration timeout,
                        std::function<void(const KeyedReply* reply)> done);

  const LoanPolicy& loan_policy() const { return m_loan_policy; }

 private:
  struct Neighbour {
    Address address;
    std::unique_ptr<PeerClient> client;
    std::vector<std::string> wanted;
    TimePoint asked_at;
  };

  ExchangeState MakeExchangeState();
  void OnPeerMessage(std::string_view payload, const PeerServer::Answer& reply);
  void Tick();
  void QueryNeighbours(TimePoint now);
  void QuerySeeds(TimePoint now);
  void Query(const std::string& name, const Address& address, TimePoint now);
  void OnReply(const std::string& name,
               const ExchangeRequest& request,
               TimePoint asked_at,
               const std::string* payload);
  void UpdateConfirmations(TimePoint now);
  void ProbeStore(TimePoint now);
  void UpdateDivision(TimePoint now);
  void WriteDivision(const std::vector<std::string>& live);

  EventLoop& m_loop;
  Settings m_settings;
  StoreClient& m_store;
  ObjectCache& m_cache;
  FleetView& m_fleet;
  EntitlementParts& m_parts;
  GatewayPeerEvents m_events;
  std::string m_key;
  Duration m_interval;
  PeerTable m_table;
  DivisionTracker m_division;
  DivisionPolicy m_division_policy;
  LoanPolicy m_loan_policy;
  std::unique_ptr<PeerServer> m_server;
  std::map<std::string, Neighbour> m_neighbours;
  std::map<std::string, std::unique_ptr<PeerClient>> m_keyed_clients;
  std::unique_ptr<Timer> m_timer;
  uint64_t m_round = 0;
  TimePoint m_seeds_queried_at;
  TimePoint m_store_probed_at;
  std::vector<std::string> m_live;
  TimePoint m_live_unchanged_since;
  bool m_writing_division = false;
  std::optional<TimePoint> m_config_confirmed_at;
};

}  // namespace filbertrack
