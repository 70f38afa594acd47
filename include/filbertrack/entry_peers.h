#pragma once

/// What an entry host of a platform exchanges with the others. A host that the
/// store turns away learns of a withdrawn key, a leaving backend server or a
/// new configuration from its peers, and all learn of each other's work at the
/// targets. Peers find each other, and their common secret, in the store.

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "filbertrack/entry_host.h"
#include "filbertrack/entry_ports.h"
#include "filbertrack/news_fleet.h"
#include "filbertrack/peer_link.h"

namespace filbertrack {

struct EntryPeersPolicy {
  /// How often each neighbour is asked: half of the time within which a host
  /// that has answered must not go back, and often enough that loads are fresh.
  Duration interval = Milliseconds(150);
  Duration ask_timeout = Milliseconds(500);
  /// Hosts asked in a round. With more peers than this each round asks others.
  size_t neighbours = 8;
  /// How often the list of entry hosts is read from the store. Peers make
  /// themselves known with their questions, so only the first reading matters
  /// to a host that can be reached.
  Duration list_interval = Seconds(20);
  /// Entry hosts that watch the store. Four: with a third of the hosts cut off
  /// from it, all four are in one run of a hundred, and then the next ones
  /// watch as soon as they hear so.
  size_t watchers = 4;
  /// After the start the hosts that are listed in the store count as peers
  /// until they had time to be heard.
  Duration settle = Seconds(2);
  /// While it settles, the list is read this often: many hosts start together.
  Duration first_list_interval = Milliseconds(400);
  /// Each other data centre is asked about once in this time.
  Duration far_interval = Milliseconds(600);
  /// A peer that does not answer is asked this much less often.
  Duration silent_interval = Seconds(1);
};

class EntryPeers {
 public:
  EntryPeers(EventLoop& loop,
             const std::string& node,
             const std::string& data_centre,
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
  void OnOwnChange();

  /// This host must watch the store whatever the others do.
  void SetNeedsWatch(bool needs);
  bool watches() const { return m_watching; }

 private:
  struct Peer {
    Address address;
    /// Empty: not known yet.
    std::string data_centre;
    std::unique_ptr<PeerClient> client;
    TimePoint asked_at;
    bool silent = false;
  };

  void LoadSecret();
  void OnSecret(const StoreAnswer& answer);
  void Listen(const std::string& secret);
  void Register(uint64_t expected_version);
  void List();
  void OnListed(const std::vector<StoredObject>& records);
  void Round();
  void Ask(const std::string& name, Peer& peer, TimePoint now);
  void OnAnswer(const std::string& name, const std::string* payload);
  void OnQuestion(std::string_view payload, const PeerServer::Answer& answer);
  void TakeOver(const NewsAnswer& answer);
  void TakeOverConfig(const NewsAnswer& answer);
  /// What this host tells a peer of that data centre.
  NewsState OwnNews(std::string_view data_centre) const;
  bool IsNear(std::string_view data_centre) const;
  /// Asks the next peers of the own data centre in turn, so that all are asked.
  void AskNear(TimePoint now);
  /// Asks one host of each of the next other data centres in turn.
  void AskFar(TimePoint now);
  void AskOneOf(std::string_view data_centre, TimePoint now);
  std::set<std::string, std::less<>> FarDataCentres() const;
  /// False where the peer is busy, or silent and was asked lately.
  bool TryAsk(const std::string& name, Peer& peer, TimePoint now);
  /// Asks `name` for its configuration if it is newer and no other is asked.
  void WantConfig(const std::string& name, const NewsState& state);
  void AddPeer(const std::string& name,
               const std::string& address,
               const std::string& data_centre);
  void NoteNews(const NewsState& state, TimePoint now);
  void SumLoads(TimePoint now);
  void ChooseWatch(TimePoint now);

  EventLoop& m_loop;
  std::string m_node;
  std::string m_data_centre;
  Address m_listen;
  EntryPeersPolicy m_policy;
  EntryHost& m_host;
  const SiteDecoder& m_decoder;
  RecordStore& m_records;
  SiteFeed& m_feed;
  TimePoint m_started;
  bool m_watching = false;
  bool m_listed = false;
  bool m_needs_watch = false;
  /// The peer that is asked for its configuration; empty: none.
  std::string m_config_from;
  TimePoint m_config_asked_at;
  uint64_t m_told_config = 0;
  uint64_t m_told_servers = 0;
  std::string m_secret;
  std::string m_proposed_secret;
  std::unique_ptr<PeerServer> m_server;
  std::map<std::string, Peer, std::less<>> m_peers;
  FleetNews m_news;
  /// Names of the peers that the last round ended with.
  std::string m_last_near;
  /// Data centre that was asked last.
  std::string m_last_far;
  std::mt19937_64 m_random;
  Duration m_start_pause{0};
  std::unique_ptr<Timer> m_retry_timer;
  std::unique_ptr<Timer> m_list_timer;
  std::unique_ptr<Timer> m_round_timer;
};

}  // namespace filbertrack
