#pragma once

/// What an entry host of a platform exchanges with the others. A host that the
/// store turns away learns of a withdrawn key, a leaving backend server or a
/// new configuration from its peers, and all learn of each other's work at the
/// targets. Peers find each other, and their common secret, in the store.

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "filbertrack/entry_host.h"
#include "filbertrack/entry_ports.h"
#include "filbertrack/entry_roster.h"
#include "filbertrack/gossip_exchange.h"
#include "filbertrack/gossip_fetch.h"
#include "filbertrack/gossip_fleet.h"
#include "filbertrack/gossip_watchers.h"
#include "filbertrack/peer_link.h"

namespace filbertrack {

struct EntryPeersPolicy {
  /// How often each neighbour is asked: half of the time within which a host
  /// that has answered must not go back, and often enough that loads are fresh.
  Duration interval = Milliseconds(150);
  Duration request_timeout = Milliseconds(500);
  /// Hosts asked in a round. With more peers than this each round asks others.
  size_t neighbours = 8;
  WatchPolicy watch;
  /// The whole fleet starts for the first time.
  bool first_start = false;
  /// After the start the hosts that are listed in the store count as peers
  /// until they had time to be heard.
  Duration startup_grace_period = Seconds(2);
  /// In large fleets so many hosts of a data centre ask the other ones; a
  /// second one, so that the loss of one is no gap.
  size_t relays = 2;
  LoadExchangePolicy loads;
  /// Time between two fetches of registrations: what changes meanwhile comes in
  /// one message. A third of a round.
  Duration min_fetch_gap = Milliseconds(50);
  /// A peer that does not answer is asked this much less often.
  Duration unresponsive_interval = Seconds(1);
  /// The hosts that are heard are named anew to those that remember them this
  /// often, also where none came or went.
  Duration host_refresh_interval = Seconds(1);
};

class EntryPeers {
 public:
  /// `own` is this host as the others are told of it.
  EntryPeers(EventLoop& loop,
             FleetHost own,
             const Address& listen,
             EntryPeersPolicy policy,
             EntryHost& host,
             const SiteDecoder& decoder,
             RecordStore& records,
             SiteFeed& feed);
  ~EntryPeers();

  /// Begins to look for the secret and the other entry hosts.
  void Start();

  /// Something changed here: peers are told at once and not with the next
  /// round.
  void OnLocalChange();

  /// This host must watch the store whatever the others do.
  void SetNeedsWatch(bool needs);
  bool watches() const { return m_watching; }

  /// Whether stronger hosts that reach the store are there to give the orders.
  /// After a start of the fleet the first host that is up takes the lease, and
  /// one with a tenth of a processor cannot ask hundreds of hosts how they are.
  bool ShouldYield(TimePoint now) const;

  /// Bytes of messages with other entry hosts, by what they carry.
  struct Traffic {
    uint64_t states = 0;
    uint64_t configs = 0;
    uint64_t servers = 0;
  };
  const Traffic& sent() const { return m_sent; }

 private:
  struct Peer {
    Address address;
    /// Its data centre is empty where it is not known yet.
    FleetHost host;
    /// Made when the peer is first asked: most hosts of other data centres
    /// never are.
    std::unique_ptr<PeerClient> client;
    bool busy() const { return client != nullptr && client->busy(); }
    TimePoint last_request;
    bool unresponsive = false;
    /// Its facts of requests under which servers end are known up to here.
    uint64_t known_poison_revision = 0;
    /// The same of its words of limits that servers name.
    uint64_t known_limits_revision = 0;
  };

  EntryRoster::Events RosterEvents();
  void OnSecret(const std::string& secret);
  void Listen(const std::string& secret);
  void RunRound();
  /// What is asked for of the work of hosts that the peer heard.
  enum class LoadScope { kOwn, kRemote, kRemoteAndLocal };
  void Ask(const std::string& name, Peer& peer, LoadScope scope, TimePoint now);
  void OnReply(const std::string& name, const std::string* payload);
  void OnRequest(std::string_view payload, const PeerServer::Answer& answer);
  void ApplyReply(const GossipReply& reply);
  void ApplyConfig(const GossipReply& reply);
  /// What this host tells a peer of that data centre.
  GossipState OwnGossipState(std::string_view data_centre) const;
  std::string MakeReply(const GossipRequest& request);
  bool IsLocal(std::string_view data_centre) const;
  /// Asks the next peers of the own data centre in turn, so that all are asked.
  void AskLocalPeers(TimePoint now);
  /// Exchanges loads, where that is due, with the relays: of the own data
  /// centre, or, as a relay, of all.
  void ExchangeLoads(TimePoint now);
  /// As a relay: asks the other relays here and one host of each other data
  /// centre.
  void ExchangeAsRelay(std::span<const std::string> relays, TimePoint now);
  /// Asks a relay of that data centre, or another host of it where none of them
  /// answers.
  void AskDataCentre(const std::string& data_centre, TimePoint now);
  /// Asks one that exchanges loads with other data centres for this host.
  void AskRelay(std::span<const std::string> relays, TimePoint now);
  /// Who does what for the others. To find it out takes a look at every host
  /// of the fleet, so it is kept until one comes, goes or changes.
  struct Roles {
    uint64_t membership = 0;
    uint64_t peer_changes = 0;
    bool store_fails = false;
    /// Of the time after the start in which the choice of watchers moves by
    /// itself.
    int64_t watch_phase = 0;
    /// Of each data centre.
    std::map<std::string, std::vector<std::string>, std::less<>> relays;
    std::set<std::string, std::less<>> remote_data_centres;
    size_t local_hosts = 0;
    /// This host is among the watchers.
    bool watches = false;
  };
  const Roles& CurrentRoles(TimePoint now);
  /// -1 once the choice of watchers hangs on who is heard alone.
  int64_t WatchPhase(TimePoint now) const;
  bool IsChosenToWatch(std::span<const FleetHost> live, TimePoint now) const;
  /// Tells over which hosts the limits of servers are divided.
  void UpdateLimitHosts(TimePoint now);
  /// Tells who may let a copy of a marked request through.
  void UpdateTrialHosts(TimePoint now);
  std::set<std::string, std::less<>> RemoteDataCentres() const;
  /// False where the peer is busy, or silent and was asked lately.
  bool TryAsk(const std::string& name, Peer& peer, TimePoint now);
  /// Asks `name` for what it knows more, unless another one is asked for it.
  void FetchNewer(const std::string& name, const GossipState& state);
  void AddPeer(const FleetHost& host, const std::string& address);
  void RecordState(const GossipState& state, TimePoint now);
  void UpdateRemoteLoads(TimePoint now);
  void UpdateWatching(TimePoint now);
  /// Peers that are listed and not heard may not have had the time.
  bool IsStartingUp(TimePoint now) const {
    return now - m_started < m_policy.startup_grace_period;
  }

  EventLoop& m_loop;
  FleetHost m_own;
  Address m_listen;
  EntryPeersPolicy m_policy;
  EntryHost& m_host;
  const SiteDecoder& m_decoder;
  SiteFeed& m_feed;
  EntryRoster m_roster;
  TimePoint m_started;
  bool m_watching = false;
  bool m_has_list = false;
  bool m_needs_watch = false;
  /// Whom the configuration, and whom registrations are asked of.
  GossipFetch m_config_fetch;
  GossipFetch m_servers_fetch;
  uint64_t m_announced_config = 0;
  uint64_t m_announced_servers = 0;
  EvacuationUpdate m_announced_evacuations;
  Traffic m_sent;
  std::string m_secret;
  std::unique_ptr<PeerServer> m_server;
  std::map<std::string, Peer, std::less<>> m_peers;
  FleetGossip m_gossip;
  /// Names of the peers that the last round ended with.
  std::string m_last_local_peer;
  LoadExchange m_load_exchange;
  std::optional<Roles> m_roles;
  /// Counts peers that came or changed.
  uint64_t m_peer_changes = 0;
  TimePoint m_limit_hosts_updated;
  uint64_t m_limit_hosts_membership = 0;
  std::mt19937_64 m_random;
  std::unique_ptr<Timer> m_round_timer;
  /// Runs while loads are exchanged more often than rounds come.
  std::unique_ptr<Timer> m_exchange_timer;
};

}  // namespace filbertrack
