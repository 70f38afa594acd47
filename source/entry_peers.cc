#include "filbertrack/entry_peers.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "filbertrack/base_compress.h"
#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"
#include "filbertrack/placement_message.h"

namespace filbertrack {

namespace {

/// Maximum size of a decompressed configuration. The store accepts values up to
/// 1 MiB; the text that peers send may contain more whitespace.
constexpr size_t kMaxConfigBytes = 4 * 1024 * 1024;
/// Entry hosts that are asked to probe servers, and the time for their reply.
constexpr size_t kProbingPeers = 4;
constexpr Duration kProbeReplyTimeout = Milliseconds(300);
/// Facts in replies that took longer are dated by their question, and reports
/// of the store's return in them are ignored.
constexpr Duration kMaxDatingError = Milliseconds(200);

}  // namespace

EntryPeers::EntryPeers(EventLoop& loop,
                       FleetHost own,
                       const Address& listen,
                       EntryPeersPolicy policy,
                       EntryHost& host,
                       const SiteDecoder& decoder,
                       RecordStore& records,
                       SiteFeed& feed)
    : m_loop(loop),
      m_own(std::move(own)),
      m_listen(listen),
      m_policy(policy),
      m_host(host),
      m_decoder(decoder),
      m_feed(feed),
      m_roster(loop, m_own, listen, {}, records, RosterEvents()),
      m_started(MonotonicNow()),
      m_config_fetch(policy.request_timeout, Duration(0)),
      m_servers_fetch(policy.request_timeout, policy.min_fetch_gap),
      m_gossip(m_own.name, m_own.data_centre, {}),
      m_load_exchange(policy.loads),
      m_random(RendezvousWeight("peers", m_own.name)) {}

EntryPeers::~EntryPeers() = default;

EntryRoster::Events EntryPeers::RosterEvents() {
  return {[this](const std::string& secret) { OnSecret(secret); },
          [this](const FleetHost& host, const std::string& address) {
            AddPeer(host, address);
          },
          [this] { m_has_list = true; }};
}

void EntryPeers::Start() {
  m_feed.ReadOnce();
  m_roster.Start(m_started);
}

void EntryPeers::OnSecret(const std::string& secret) {
  m_secret = secret;
  Listen(secret);
  m_round_timer = m_loop.Every(m_policy.interval, [this] { RunRound(); });
  m_host.OnForwardOffersNeeded([this] { AskForForwardOffers(MonotonicNow()); });
  m_host.view().OnNeedsConfirmation([this] { ConfirmView(MonotonicNow()); });
  m_host.poison().set_on_end([this] { ScheduleEndReports(); });
  // The other hosts then fetch the new blocks at once.
  m_host.poison().set_on_block([this] { AskLocalPeers(MonotonicNow()); });
}

void EntryPeers::Listen(const std::string& secret) {
  m_server = std::make_unique<PeerServer>(
      m_loop, secret,
      [this](std::string_view payload, const PeerServer::Answer& answer) {
        OnRequest(payload, answer);
      });
  Address bound;
  if (!m_server->Listen(m_listen, &bound)) {
    // Replies to this host's own requests still arrive.
    Log(LogLevel::kError, "peers-not-listening",
        {{"address", m_listen.ToString()}});
  }
  const auto port =
      static_cast<uint16_t>(m_host.settings().Integer("peers", "forward_port"));
  const Result<Address> forwarded =
      m_host.ListenForForwarded({m_listen.host, port}, secret);
  if (!forwarded) {
    Log(LogLevel::kError, "forwarded-not-listening",
        {{"why", forwarded.error().message}});
  }
}

void EntryPeers::AddPeer(const FleetHost& host, const std::string& address) {
  const Result<Address> parsed = ParseServerAddress(address);
  if (host.name == m_own.name || !parsed) {
    return;
  }
  Peer& peer = m_peers[host.name];
  if (peer.host.name.empty() || peer.host.data_centre != host.data_centre) {
    ++m_peer_changes;
  }
  peer.host = host;
  if (!(peer.address == *parsed)) {
    peer.address = *parsed;
    peer.client.reset();
  }
}

GossipState EntryPeers::OwnGossipState(std::string_view data_centre) const {
  GossipState state = m_host.OwnGossipState();
  state.address = m_listen.ToString();
  state.data_centre = m_own.data_centre;
  state.capacity = m_own.capacity;
  if (!IsLocal(data_centre)) {
    m_gossip.CoverDataCentre(state, MonotonicNow());
  }
  return state;
}

bool EntryPeers::IsLocal(std::string_view data_centre) const {
  // A small fleet needs no sums, as each host exchanges its state with all
  // others in every round.
  return data_centre.empty() || data_centre == m_own.data_centre ||
         m_peers.size() <= m_policy.neighbours;
}

uint64_t EntryPeers::ConfigVersion() const {
  return m_host.catalog() == nullptr ? 0 : m_host.catalog()->version();
}

void EntryPeers::OnLocalChange() {
  const uint64_t config = ConfigVersion();
  const uint64_t servers = m_host.server_log().revision();
  const EvacuationUpdate evacuations = m_host.evacuations().News();
  if (config == m_announced_config && servers == m_announced_servers &&
      evacuations == m_announced_evacuations) {
    return;
  }
  // Registrations change often, so only hosts that watch the store send them at
  // once; the others wait for the next round.
  const bool announces = m_watching || config != m_announced_config ||
                         evacuations != m_announced_evacuations;
  m_announced_evacuations = evacuations;
  m_announced_config = config;
  m_announced_servers = servers;
  if (announces && m_round_timer != nullptr) {
    RunRound();
  }
}

void EntryPeers::RunRound() {
  const TimePoint now = MonotonicNow();
  m_host.view().Tick(now);
  m_gossip.ForgetOld(now);
  UpdateRemoteLoads(now);
  m_host.BlockPoisonRequests();
  UpdateTrialHosts(now);
  UpdateLimitHosts(now);
  UpdateWatching(now);
  AskLocalPeers(now);
  ExchangeLoads(now);
  if (m_host.NeedsForwardOffers()) {
    AskForForwardOffers(now);
  }
  if (m_on_round) {
    m_on_round();
  }
}

void EntryPeers::UpdateLimitHosts(TimePoint now) {
  const bool same =
      m_limit_hosts_membership == m_gossip.membership() &&
      now - m_limit_hosts_updated < m_policy.host_refresh_interval;
  if (same && !IsStartingUp(now)) {
    return;
  }
  m_limit_hosts_membership = m_gossip.membership();
  m_limit_hosts_updated = now;
  std::vector<std::string> hosts = m_gossip.Hosts(now);
  if (IsStartingUp(now)) {
    for (const auto& [name, peer] : m_peers) {
      hosts.push_back(name);
    }
  }
  m_host.backpressure().SetFleet(hosts, now);
}

void EntryPeers::UpdateTrialHosts(TimePoint now) {
  if (m_host.poison().IsIdle()) {
    return;
  }
  std::vector<std::string> hosts = m_gossip.Hosts(now);
  // A host that receives messages from less than half of its peers may be
  // partitioned from them. The other side has a host that sends trial copies
  // too, so this one sends none.
  if (hosts.size() * 2 < m_peers.size()) {
    hosts.clear();
  } else {
    hosts.push_back(m_own.name);
  }
  m_host.poison().SetFleet(m_own.name, std::move(hosts));
}

void EntryPeers::AskLocalPeers(TimePoint now) {
  size_t asked = 0;
  auto next = m_peers.upper_bound(m_last_local_peer);
  for (size_t i = 0; i < m_peers.size() && asked < m_policy.neighbours; ++i) {
    if (next == m_peers.end()) {
      next = m_peers.begin();
    }
    if (IsLocal(next->second.host.data_centre) &&
        TryAsk(next->first, next->second, now)) {
      m_last_local_peer = next->first;
      ++asked;
    }
    ++next;
  }
}

void EntryPeers::AskForProbes(const std::vector<std::string>& servers,
                              Probed done) {
  struct Question {
    size_t pending = 0;
    std::set<std::string> answered;
    Probed done;
  };
  const auto question = std::make_shared<Question>();
  question->done = std::move(done);
  std::vector<Peer*> asked;
  for (auto& [name, peer] : m_peers) {
    if (asked.size() < kProbingPeers && !peer.unresponsive && !peer.busy() &&
        peer.client != nullptr) {
      asked.push_back(&peer);
    }
  }
  question->pending = asked.size();
  if (asked.empty()) {
    question->done({});
    return;
  }
  const std::string message = EncodeProbeRequest(servers);
  for (Peer* peer : asked) {
    peer->client->Ask(
        message, kProbeReplyTimeout, [question](const std::string* payload) {
          const auto answered = payload == nullptr
                                    ? Result<std::vector<std::string>>()
                                    : DecodeProbeReply(*payload);
          if (answered) {
            question->answered.insert(answered->begin(), answered->end());
          }
          if (--question->pending == 0) {
            question->done(question->answered);
          }
        });
  }
}

bool EntryPeers::HandleProbeRequest(std::string_view payload,
                                    const PeerServer::Answer& answer) {
  const auto servers = DecodeProbeRequest(payload);
  if (!servers || !m_on_probe_request) {
    return false;
  }
  m_on_probe_request(*servers,
                     [answer](const std::vector<std::string>& answered) {
                       answer(EncodeProbeReply(answered));
                     });
  return true;
}

void EntryPeers::ConfirmView(TimePoint now) {
  if (m_peers.empty()) {
    m_host.view().OnConfirmed(now);
    return;
  }
  AskLocalPeers(now);
}

void EntryPeers::UpdateView(const std::string& name,
                            const GossipState* state,
                            TimePoint asked,
                            TimePoint now) {
  if (!m_host.view().IsOutdated(now)) {
    return;
  }
  if (state != nullptr && state->config_version <= ConfigVersion() &&
      state->servers_revision <= m_host.server_log().revision()) {
    m_host.view().OnConfirmed(asked);
  }
  const auto peer = m_peers.find(name);
  if (m_host.view().IsOutdated(now) && peer != m_peers.end() &&
      !peer->second.busy()) {
    Ask(name, peer->second, LoadScope::kOwn, now);
  }
}

void EntryPeers::AskForForwardOffers(TimePoint now) {
  // Of all data centres, as the hosts of the local one may all be cut off.
  size_t asked = 0;
  auto next = m_peers.upper_bound(m_last_offer_peer);
  for (size_t i = 0; i < m_peers.size() && asked < m_policy.neighbours; ++i) {
    if (next == m_peers.end()) {
      next = m_peers.begin();
    }
    if (TryAsk(next->first, next->second, now)) {
      m_last_offer_peer = next->first;
      ++asked;
    }
    ++next;
  }
}

bool EntryPeers::TryAsk(const std::string& name, Peer& peer, TimePoint now) {
  const Duration pause =
      peer.unresponsive ? m_policy.unresponsive_interval : Duration(0);
  if (peer.busy() || now - peer.last_request < pause) {
    return false;
  }
  Ask(name, peer, LoadScope::kOwn, now);
  return true;
}

void EntryPeers::Ask(const std::string& name,
                     Peer& peer,
                     LoadScope scope,
                     TimePoint now) {
  peer.last_request = now;
  const GossipRequest request{
      OwnGossipState(peer.host.data_centre),
      m_config_fetch.IsFrom(name),
      m_servers_fetch.IsFrom(name),
      scope != LoadScope::kOwn,
      peer.known_poison_revision,
      scope == LoadScope::kRemoteAndLocal,
      peer.known_limits_revision,
      m_host.NeedsForwardOffers(),
      m_host.poison().IsIdle() ? 0 : m_host.poison().revision()};
  std::string message = EncodeGossipRequest(request);
  m_sent.states += message.size();
  if (peer.client == nullptr) {
    peer.client = std::make_unique<PeerClient>(m_loop, m_secret, peer.address);
  }
  peer.client->Ask(
      std::move(message), m_policy.request_timeout,
      [this, name](const std::string* payload) { OnReply(name, payload); });
}

void EntryPeers::OnReply(const std::string& name, const std::string* payload) {
  const auto peer = m_peers.find(name);
  if (peer == m_peers.end()) {
    return;
  }
  if (peer->second.unresponsive != (payload == nullptr)) {
    peer->second.unresponsive = payload == nullptr;
    Log(LogLevel::kInfo, payload == nullptr ? "peer-lost" : "peer-back",
        {{"peer", name}});
  }
  const TimePoint now = MonotonicNow();
  const TimePoint asked = peer->second.last_request;
  // Regardless of the content: a fetch starts with a request of its own, and
  // each peer has at most one request in flight.
  m_config_fetch.End(name, now);
  m_servers_fetch.End(name, now);
  if (payload == nullptr) {
    UpdateView(name, nullptr, asked, now);
    return;
  }
  const Result<GossipReply> reply = DecodeGossipReply(*payload);
  if (!reply) {
    Log(LogLevel::kWarning, "peer-refused",
        {{"peer", name}, {"why", reply.error().message}});
    return;
  }
  RecordState(reply->state, now);
  RecordStoreAccess(reply->state, asked, now);
  if (!reply->state.remote_loads.empty()) {
    // A relay's reply holds the newest loads available.
    UpdateRemoteLoads(now);
  }
  // A reply that was read late would make old facts newer than those which
  // replaced them, here and at every host that is told of them.
  const TimePoint as_of = now - asked <= kMaxDatingError ? now : asked;
  RecordPoison(peer->second, reply->poison, as_of);
  peer->second.known_limits_revision = reply->limits.revision;
  m_host.backpressure().OnPeerUpdate(reply->limits, name, as_of);
  if (reply->forward_offer) {
    m_host.OnPeerForwardOffer(peer->second.host, reply->state.address,
                              *reply->forward_offer);
  }
  ApplyReply(*reply);
  FetchNewer(name, reply->state);
  UpdateView(name, &reply->state, asked, now);
}

void EntryPeers::FetchNewer(const std::string& name, const GossipState& state) {
  const TimePoint now = MonotonicNow();
  const bool fetch_config =
      state.config_version > ConfigVersion() && m_config_fetch.MayBegin(now);
  const bool fetch_servers =
      state.servers_revision > m_host.server_log().revision() &&
      m_servers_fetch.MayBegin(now);
  const auto peer = m_peers.find(name);
  if ((!fetch_config && !fetch_servers) || peer == m_peers.end() ||
      peer->second.busy()) {
    return;
  }
  if (fetch_config) {
    m_config_fetch.Begin(name, now);
  }
  if (fetch_servers) {
    m_servers_fetch.Begin(name, now);
  }
  Ask(name, peer->second, LoadScope::kOwn, now);
}

void EntryPeers::OnRequest(std::string_view payload,
                           const PeerServer::Answer& answer) {
  if (m_on_placement_message && IsPlacementMessage(payload)) {
    m_on_placement_message(payload, answer);
    return;
  }
  const Result<GossipRequest> request = DecodeGossipRequest(payload);
  if (!request && HandleProbeRequest(payload, answer)) {
    return;
  }
  if (!request) {
    Log(LogLevel::kWarning, "peer-refused", {{"why", request.error().message}});
    return;
  }
  const GossipState& requester = request->state;
  RecordState(requester, MonotonicNow());
  AddPeer({requester.node, requester.data_centre, requester.capacity,
           requester.store_fails},
          requester.address);
  answer(MakeReply(*request));
  // If the requester has newer data, it is sent a request at once, so that
  // changes spread without waiting for the next round.
  FetchNewer(requester.node, requester);
  FetchPoison(*request);
}

void EntryPeers::FetchPoison(const GossipRequest& request) {
  const auto peer = m_peers.find(request.state.node);
  if (request.own_poison_revision != 0 && peer != m_peers.end() &&
      !peer->second.busy() &&
      request.own_poison_revision != peer->second.known_poison_revision) {
    Ask(peer->first, peer->second, LoadScope::kOwn, MonotonicNow());
  }
}

void EntryPeers::RecordPoison(Peer& peer,
                              const PoisonUpdate& update,
                              TimePoint now) {
  peer.known_poison_revision = update.revision;
  m_host.poison().OnPeerUpdate(update, peer.host.name, now);
  // A full message may not hold all facts.
  if (update.facts.size() < PoisonPolicy{}.max_records_per_message) {
    peer.poison_complete_until = peer.last_request;
  }
  if (m_host.poison().IsIdle() || m_peers.size() > m_policy.neighbours) {
    return;
  }
  TimePoint complete_until = now;
  for (const auto& [name, other] : m_peers) {
    if (!other.unresponsive) {
      complete_until = std::min(complete_until, other.poison_complete_until);
    }
  }
  m_host.poison().SetCompleteUntil(complete_until);
  m_host.BlockPoisonRequests();
}

void EntryPeers::ScheduleEndReports() {
  if (m_end_reports_pending) {
    return;
  }
  m_end_reports_pending = true;
  for (size_t i = 0; i < m_end_report_timers.size(); ++i) {
    const bool is_last = i + 1 == m_end_report_timers.size();
    m_end_report_timers[i] =
        m_loop.After(m_policy.end_report_delays[i], [this, is_last] {
          m_end_reports_pending = m_end_reports_pending && !is_last;
          AskLocalPeers(MonotonicNow());
        });
  }
}

std::string EntryPeers::MakeReply(const GossipRequest& request) {
  GossipState own = OwnGossipState(request.state.data_centre);
  if (request.wants_remote_loads) {
    m_gossip.AddRemoteLoads(own, MonotonicNow());
  }
  if (request.wants_local_loads) {
    m_gossip.AddLocalLoads(own, request.state.node, MonotonicNow());
  }
  GossipReply reply = MakeGossipReply(
      own, request.wants_config ? m_host.compressed_catalog() : std::string(),
      m_host.server_log(), request);
  reply.poison =
      m_host.poison().Since(request.known_poison_revision, MonotonicNow());
  reply.limits = m_host.backpressure().Since(request.known_limits_revision,
                                             MonotonicNow());
  if (request.wants_forward_offer) {
    reply.forward_offer = m_host.OwnForwardOffer();
  }
  std::string message = EncodeGossipReply(reply);
  m_sent.configs += reply.config.size();
  (reply.servers.empty() ? m_sent.states : m_sent.servers) +=
      message.size() - reply.config.size();
  return message;
}

void EntryPeers::ApplyConfig(const GossipReply& reply) {
  const auto text = Decompress(reply.config, kMaxConfigBytes);
  Result<Catalog> catalog =
      text ? m_decoder.ReadCatalog(*text)
           : Fail(ResultCode::kResourceInvalid,
                  "the configuration cannot be decompressed or exceeds " +
                      std::to_string(kMaxConfigBytes) + " bytes.");
  if (catalog) {
    m_host.OnCatalog(std::make_shared<const Catalog>(std::move(*catalog)),
                     *text);
  } else {
    Log(LogLevel::kError, "config-invalid",
        {{"peer", reply.state.node}, {"why", catalog.error().message}});
  }
}

void EntryPeers::ApplyReply(const GossipReply& reply) {
  if (!reply.config.empty()) {
    ApplyConfig(reply);
  }
  if (reply.servers.empty() && !reply.servers_complete) {
    return;
  }
  ServerChanges changes;
  changes.from = reply.state.node;
  changes.is_complete = reply.servers_complete;
  changes.revision = reply.state.servers_revision;
  for (const LoggedObject& object : reply.servers) {
    if (object.text.empty()) {
      changes.removed.push_back({object.id, object.version});
      continue;
    }
    Result<Registration> registration =
        m_decoder.ReadServer(object.id, object.text);
    if (registration) {
      registration->version = object.version;
      changes.changed.push_back(std::move(*registration));
    } else {
      // Hosts of earlier versions forward the text as it is stored.
      const std::string& why = registration.error().message;
      changes.unreadable.push_back(
          {object.id, object.version, m_decoder.FormatUnreadable(why), why});
    }
  }
  m_host.OnServers(std::move(changes));
}

void EntryPeers::RecordState(const GossipState& state, TimePoint now) {
  m_gossip.Note(state, now);
  m_host.OnPeerEvacuations(state.evacuations);
}

void EntryPeers::RecordStoreAccess(const GossipState& state,
                                   TimePoint asked,
                                   TimePoint now) {
  // Ages are as of some time between `asked` and `now`, which are far apart if
  // this process was stopped. Dated to the end that makes the report weaker.
  if (state.store_service) {
    m_host.OnPeerStoreService(
        {now - state.store_service->since, asked - state.store_service->until});
  }
  if (state.store_back_for && now - asked <= kMaxDatingError) {
    m_host.OnPeerSawStoreReturn(state.node, asked - *state.store_back_for);
  }
}

}  // namespace filbertrack
