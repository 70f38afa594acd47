#pragma once

/// Gossip between the entry hosts of a platform. A host that cannot reach the
/// store learns of a revoked key, a leaving backend server or a new
/// configuration from its peers, and all hosts exchange their loads at the
/// targets. Peers discover each other, and the shared secret, through the
/// store.

#include <array>
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
  /// Interval between gossip rounds: half of the time within which a host that
  /// has answered must not go back, and short enough that loads are fresh.
  Duration interval = Milliseconds(150);
  Duration request_timeout = Milliseconds(500);
  /// Number of peers that are sent a request in each round. With more peers
  /// than this, rounds take them in turn.
  size_t neighbours = 8;
  WatchPolicy watch;
  /// The whole fleet starts for the first time.
  bool first_start = false;
  /// Time after the start in which hosts listed in the store count as live, as
  /// their first message may not have arrived yet.
  Duration startup_grace_period = Seconds(2);
  /// Number of hosts of each data centre that exchange loads with the other
  /// data centres in a large fleet. Two, so that the failure of one leaves no
  /// gap.
  size_t relays = 2;
  LoadExchangePolicy loads;
  /// Minimum time from the end of a fetch of registrations to the next one, so
  /// that several changes arrive in one message. A third of `interval`.
  Duration min_fetch_gap = Milliseconds(50);
  /// Minimum time between two requests to a peer that did not reply to the last
  /// one.
  Duration unresponsive_interval = Seconds(1);
  /// Delays after the end of a server that was handling requests of this host
  /// until the other hosts are asked for their facts about it: once as soon as
  /// they can have noticed it too, and once when they must have.
  std::array<Duration, 2> end_report_delays = {Milliseconds(20),
                                               Milliseconds(110)};
  /// Maximum time between two updates of the hosts that share server limits,
  /// even if no host joined or left.
  Duration host_refresh_interval = Seconds(1);
};

class EntryPeers {
 public:
  /// `own` describes this host to the others.
  EntryPeers(EventLoop& loop,
             FleetHost own,
             const Address& listen,
             EntryPeersPolicy policy,
             EntryHost& host,
             const SiteDecoder& decoder,
             RecordStore& records,
             SiteFeed& feed);
  ~EntryPeers();

  /// Starts the discovery of the shared secret and the other entry hosts.
  /// Gossip starts once the secret is known.
  void Start();

  /// The state of this host changed: starts a round at once if the change
  /// should not wait for the next one.
  void OnLocalChange();

  /// Makes this host watch the store even if it is not chosen as a watcher.
  void SetNeedsWatch(bool needs);
  /// Whether this host watches the store.
  bool watches() const { return m_watching; }

  /// Whether a host of a higher capacity class is live and reaches the store,
  /// so that it should hold the lease instead. After a start of the fleet the
  /// first host that is up acquires the lease, and one with a tenth of a
  /// processor cannot probe hundreds of hosts.
  bool ShouldYield(TimePoint now) const;

  /// The live hosts with this one. Shortly after the start also the hosts that
  /// the store lists and that sent no message yet.
  std::vector<FleetHost> LiveHosts(TimePoint now) const;
  /// Changes whenever LiveHosts() may have changed, except after the start.
  uint64_t MembershipRevision() const {
    return m_gossip.membership() + m_peer_changes;
  }
  /// Whether hosts that are listed but sent no message yet count as live.
  bool IsStartingUp(TimePoint now) const {
    return now - m_started < m_policy.startup_grace_period;
  }
  /// The loads that the other hosts reported.
  FleetGossip::LoadSums RemoteLoads(TimePoint now) const {
    return m_gossip.SumLoads(now).loads;
  }
  /// Address for messages to another host; null if it is not known.
  const Address* AddressOf(std::string_view host) const;
  /// Shared secret of the entry hosts; empty until it was read.
  const std::string& secret() const { return m_secret; }
  /// Announces that this host takes on no tasks for the fleet any more, by a
  /// capacity of 0.
  void AnnounceDraining();

  /// Sets the callback for the end of each gossip round.
  void OnRound(std::function<void()> action) { m_on_round = std::move(action); }
  /// Sets the handler of placement messages; null if there is none.
  void OnPlacementMessage(PeerServer::Handler handler) {
    m_on_placement_message = std::move(handler);
  }

  using Probed = std::function<void(const std::set<std::string>& answered)>;
  /// Asks some other entry hosts to probe the backend servers. `done` is called
  /// once, with those that answered one of them.
  void AskForProbes(const std::vector<std::string>& servers, Probed done);
  using ProbeHandler = std::function<void(
      std::vector<std::string> servers,
      std::function<void(const std::vector<std::string>& answered)>)>;
  /// Sets the handler of such a question by another host.
  void OnProbeRequest(ProbeHandler handler) {
    m_on_probe_request = std::move(handler);
  }

  /// Bytes of gossip messages sent to other entry hosts, by content.
  struct Traffic {
    uint64_t states = 0;
    uint64_t configs = 0;
    uint64_t servers = 0;
  };
  const Traffic& sent() const { return m_sent; }

 private:
  struct Peer {
    Address address;
    /// The data centre is empty while it is not known.
    FleetHost host;
    /// Created with the first request to the peer. Most hosts of other data
    /// centres are never sent one.
    std::unique_ptr<PeerClient> client;
    bool busy() const { return client != nullptr && client->busy(); }
    TimePoint last_request;
    /// The last request got no reply in time.
    bool unresponsive = false;
    /// Revision of the peer's poison facts up to which they are known here.
    uint64_t known_poison_revision = 0;
    /// The facts that the peer had at this time are known here.
    TimePoint poison_complete_until;
    /// Revision of the peer's records of server limits up to which they are
    /// known here.
    uint64_t known_limits_revision = 0;
  };

  EntryRoster::Events RosterEvents();
  void OnSecret(const std::string& secret);
  void Listen(const std::string& secret);
  /// Handles a message that is neither gossip nor about placement; false if it
  /// is not understood.
  bool HandleProbeRequest(std::string_view payload,
                          const PeerServer::Answer& answer);
  void RunRound();
  /// Loads that a peer is asked for.
  enum class LoadScope {
    /// Those of its own state only.
    kOwn,
    /// Also the sums of the remote data centres that it received.
    kRemote,
    /// Also the sum of the local data centre.
    kRemoteAndLocal
  };
  void Ask(const std::string& name, Peer& peer, LoadScope scope, TimePoint now);
  /// `payload` is null if the peer did not reply in time.
  void OnReply(const std::string& name, const std::string* payload);
  void OnRequest(std::string_view payload, const PeerServer::Answer& answer);
  void ApplyReply(const GossipReply& reply);
  void ApplyConfig(const GossipReply& reply);
  /// State that this host sends to a peer in `data_centre`.
  GossipState OwnGossipState(std::string_view data_centre) const;
  std::string MakeReply(const GossipRequest& request);
  /// Whether hosts of `data_centre` take part in the gossip rounds of this host
  /// and receive its own loads instead of a sum. Also true for an empty name,
  /// and for every data centre in a fleet with at most `neighbours` peers.
  bool IsLocal(std::string_view data_centre) const;
  /// Asks peers in turn, `neighbours` at most, how they take forwarded
  /// requests.
  void AskForForwardOffers(TimePoint now);
  /// Asks peers for changes that this host missed while it did not run.
  void ConfirmView(TimePoint now);
  /// Confirms the view if the peer `name` has nothing newer; otherwise asks it
  /// again. `state` is its reply to a request sent at `asked`, null if there
  /// was none.
  void UpdateView(const std::string& name,
                  const GossipState* state,
                  TimePoint asked,
                  TimePoint now);
  /// Version of this host's configuration; 0 if it has none.
  uint64_t ConfigVersion() const;
  /// Sends a request to the next local peers in turn, `neighbours` at most.
  void AskLocalPeers(TimePoint now);
  /// Exchanges loads if that is due: with a relay of the local data centre, or,
  /// if this host is a relay, with the other data centres.
  void ExchangeLoads(TimePoint now);
  /// As a relay, sends a request to one host of each remote data centre and,
  /// under load, to the other relays of the local one.
  void ExchangeAsRelay(std::span<const std::string> relays, TimePoint now);
  /// Sends a request to a relay of that data centre, or to another of its hosts
  /// if none of the relays can take one.
  void AskDataCentre(const std::string& data_centre, TimePoint now);
  /// Sends a request to the relay whose turn it is.
  void AskRelay(std::span<const std::string> relays, TimePoint now);
  /// Roles of the hosts: relays and watchers. Computing them visits every host
  /// of the fleet, so the result is cached until a host joins, leaves or
  /// changes.
  struct Roles {
    uint64_t membership = 0;
    uint64_t peer_changes = 0;
    bool store_fails = false;
    /// WatchPhase() for which the roles were computed.
    int64_t watch_phase = 0;
    /// Names of the relays, by data centre.
    std::map<std::string, std::vector<std::string>, std::less<>> relays;
    std::set<std::string, std::less<>> remote_data_centres;
    size_t local_hosts = 0;
    /// This host is one of the watchers.
    bool watches = false;
  };
  /// Cached roles, computed anew if an input changed. The reference is valid
  /// until the next call.
  const Roles& CurrentRoles(TimePoint now);
  /// Number of the current round within `listed_grace_period` of the start, in
  /// which the choice of watchers also depends on the time; -1 afterwards.
  int64_t WatchPhase(TimePoint now) const;
  bool IsChosenToWatch(std::span<const FleetHost> live, TimePoint now) const;
  /// Sets the hosts that share the rate limits of the servers.
  void UpdateLimitHosts(TimePoint now);
  /// Sets the hosts that may send trial copies of blocked requests.
  void UpdateTrialHosts(TimePoint now);
  std::set<std::string, std::less<>> RemoteDataCentres() const;
  /// Sends a request for the peer's own state. False, with none sent, if one is
  /// in flight or an unresponsive peer was sent one within
  /// `unresponsive_interval`.
  bool TryAsk(const std::string& name, Peer& peer, TimePoint now);
  /// Requests the configuration or registrations from `name` if `state` shows
  /// newer ones there and no other peer is being asked for them.
  void FetchNewer(const std::string& name, const GossipState& state);
  /// Requests the facts about poison requests from the requester if it has any
  /// that are unknown here.
  void FetchPoison(const GossipRequest& request);
  /// Applies a reply's facts about poison requests.
  void RecordPoison(Peer& peer, const PoisonUpdate& update, TimePoint now);
  /// Asks the other hosts for their facts after EntryPeersPolicy's
  /// `end_report_delays`.
  void ScheduleEndReports();
  void AddPeer(const FleetHost& host, const std::string& address);
  /// Records the state that a peer sent with a request or a reply.
  void RecordState(const GossipState& state, TimePoint now);
  /// Records what the reply to a request that was sent at `asked` says of the
  /// store. Requests of peers are not read for it: they may have waited for as
  /// long as this process was stopped.
  void RecordStoreAccess(const GossipState& state,
                         TimePoint asked,
                         TimePoint now);
  /// Passes the summed loads of the other hosts to the target selection.
  void UpdateRemoteLoads(TimePoint now);
  /// Starts or stops watching the store if the role of this host has changed.
  void UpdateWatching(TimePoint now);

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
  // Fetches of the configuration and of registrations, one peer at a time.
  GossipFetch m_config_fetch;
  GossipFetch m_servers_fetch;
  // State at the latest OnLocalChange(), to tell what has changed since.
  uint64_t m_announced_config = 0;
  uint64_t m_announced_servers = 0;
  EvacuationUpdate m_announced_evacuations;
  Traffic m_sent;
  std::string m_secret;
  std::unique_ptr<PeerServer> m_server;
  std::map<std::string, Peer, std::less<>> m_peers;
  FleetGossip m_gossip;
  /// Name of the last peer that AskLocalPeers() sent a request to; the next
  /// round continues after it.
  ProbeHandler m_on_probe_request;
  /// Peer that was last asked for its forward offer.
  std::string m_last_offer_peer;
  std::string m_last_local_peer;
  LoadExchange m_load_exchange;
  std::optional<Roles> m_roles;
  /// Number of times that a peer was added or changed its data centre.
  uint64_t m_peer_changes = 0;
  TimePoint m_limit_hosts_updated;
  uint64_t m_limit_hosts_membership = 0;
  std::mt19937_64 m_random;
  std::unique_ptr<Timer> m_round_timer;
  /// Set while loads are exchanged more often than once per round.
  std::unique_ptr<Timer> m_exchange_timer;
  std::array<std::unique_ptr<Timer>, 2> m_end_report_timers;
  bool m_end_reports_pending = false;
  std::function<void()> m_on_round;
  PeerServer::Handler m_on_placement_message;
};

}  // namespace filbertrack
