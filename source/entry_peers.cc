#include "filbertrack/entry_peers.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "filbertrack/base_compress.h"
#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

constexpr std::string_view kSecretRecord = "peer-secret";
constexpr std::string_view kHostPrefix = "entry-host-";
/// Between the address and the data centre in the record of an entry host.
constexpr char kFieldSeparator = ' ';
/// The store holds values up to 1 MiB; the text here may be spaced otherwise.
constexpr size_t kMostConfigBytes = 4 * 1024 * 1024;
/// Between tries to read or write the records that a start needs: the first
/// pause, doubled up to the longest. Without peers a host that starts while the
/// store is away knows nothing until it is back.
constexpr Duration kFirstStartRetry = Milliseconds(60);
constexpr Duration kStartRetry = Milliseconds(500);

}  // namespace

EntryPeers::EntryPeers(EventLoop& loop,
                       const std::string& node,
                       const std::string& data_centre,
                       const Address& listen,
                       EntryPeersPolicy policy,
                       EntryHost& host,
                       const SiteDecoder& decoder,
                       RecordStore& records,
                       SiteFeed& feed)
    : m_loop(loop),
      m_node(node),
      m_data_centre(data_centre),
      m_listen(listen),
      m_policy(policy),
      m_host(host),
      m_decoder(decoder),
      m_records(records),
      m_feed(feed),
      m_started(MonotonicNow()),
      m_proposed_secret(RandomId() + RandomId()),
      m_news(node, data_centre, {}),
      m_random(RendezvousWeight("peers", node)) {}

EntryPeers::~EntryPeers() = default;

void EntryPeers::Start() {
  m_feed.ReadOnce();
  LoadSecret();
}

void EntryPeers::LoadSecret() {
  m_records.Read(std::string(kSecretRecord), [this](const StoreAnswer& answer) {
    if (answer.status == StoreStatus::kNotFound) {
      // The first writer wins; the others are told what it wrote.
      m_records.Write(
          std::string(kSecretRecord), m_proposed_secret, 0,
          [this](const StoreAnswer& written) { OnSecret(written); });
      return;
    }
    OnSecret(answer);
  });
}

void EntryPeers::OnSecret(const StoreAnswer& answer) {
  if (answer.object.value.empty()) {
    m_start_pause =
        std::clamp(m_start_pause * 2, kFirstStartRetry, kStartRetry);
    m_retry_timer = m_loop.After(m_start_pause, [this] { LoadSecret(); });
    return;
  }
  m_secret = answer.object.value;
  Listen(m_secret);
  Register(0);
  List();
  m_round_timer = m_loop.Every(m_policy.interval, [this] { Round(); });
}

void EntryPeers::Listen(const std::string& secret) {
  m_server = std::make_unique<PeerServer>(
      m_loop, secret,
      [this](std::string_view payload, const PeerServer::Answer& answer) {
        OnQuestion(payload, answer);
      });
  Address bound;
  if (!m_server->Listen(m_listen, &bound)) {
    // The others' answers still reach this host.
    Log(LogLevel::kError, "peers-not-listening",
        {{"address", m_listen.ToString()}});
  }
}

void EntryPeers::Register(uint64_t expected_version) {
  m_records.Write(
      std::string(kHostPrefix) + m_node,
      m_listen.ToString() + kFieldSeparator + m_data_centre, expected_version,
      [this](const StoreAnswer& answer) {
        if (answer.status == StoreStatus::kOk) {
          return;
        }
        // An earlier process of this name left a record; this one's address
        // replaces it.
        const uint64_t version =
            answer.status == StoreStatus::kConflict ? answer.object.version : 0;
        m_retry_timer =
            m_loop.After(kStartRetry, [this, version] { Register(version); });
      });
}

void EntryPeers::List() {
  m_records.ReadAll(
      std::string(kHostPrefix),
      [this](StoreStatus status, const std::vector<StoredObject>& records) {
        if (status == StoreStatus::kOk) {
          OnListed(records);
        }
        const bool settled = MonotonicNow() - m_started >= m_policy.settle;
        m_list_timer = m_loop.After(
            settled ? m_policy.list_interval : m_policy.first_list_interval,
            [this] { List(); });
      });
}

void EntryPeers::OnListed(const std::vector<StoredObject>& records) {
  m_listed = true;
  for (const StoredObject& record : records) {
    const size_t address_end = record.value.find(kFieldSeparator);
    const std::string data_centre = address_end == std::string::npos
                                        ? ""
                                        : record.value.substr(address_end + 1);
    AddPeer(record.key.substr(kHostPrefix.size()),
            record.value.substr(0, address_end), data_centre);
  }
}

void EntryPeers::AddPeer(const std::string& name,
                         const std::string& address,
                         const std::string& data_centre) {
  const Result<Address> parsed = ParseAddress(address);
  if (name == m_node || !parsed) {
    return;
  }
  Peer& peer = m_peers[name];
  peer.data_centre = data_centre;
  if (peer.client == nullptr || !(peer.address == *parsed)) {
    peer.address = *parsed;
    peer.client = std::make_unique<PeerClient>(m_loop, m_secret, *parsed);
  }
}

NewsState EntryPeers::OwnNews(std::string_view data_centre) const {
  NewsState state = m_host.OwnNews();
  state.address = m_listen.ToString();
  state.data_centre = m_data_centre;
  if (!IsNear(data_centre)) {
    m_news.CoverDataCentre(state, MonotonicNow());
  }
  return state;
}

bool EntryPeers::IsNear(std::string_view data_centre) const {
  // A small fleet needs no sums: each host hears all others in every round.
  return data_centre.empty() || data_centre == m_data_centre ||
         m_peers.size() <= m_policy.neighbours;
}

void EntryPeers::OnOwnChange() {
  const uint64_t config =
      m_host.catalog() == nullptr ? 0 : m_host.catalog()->version();
  const uint64_t servers = m_host.server_log().revision();
  if (config == m_told_config && servers == m_told_servers) {
    return;
  }
  m_told_config = config;
  m_told_servers = servers;
  if (m_watching && m_round_timer != nullptr) {
    Round();
  }
}

void EntryPeers::Round() {
  const TimePoint now = MonotonicNow();
  SumLoads(now);
  ChooseWatch(now);
  AskNear(now);
  AskFar(now);
}

void EntryPeers::AskNear(TimePoint now) {
  size_t asked = 0;
  auto next = m_peers.upper_bound(m_last_near);
  for (size_t i = 0; i < m_peers.size() && asked < m_policy.neighbours; ++i) {
    if (next == m_peers.end()) {
      next = m_peers.begin();
    }
    if (IsNear(next->second.data_centre) &&
        TryAsk(next->first, next->second, now)) {
      m_last_near = next->first;
      ++asked;
    }
    ++next;
  }
}

std::set<std::string, std::less<>> EntryPeers::FarDataCentres() const {
  std::set<std::string, std::less<>> far;
  for (const auto& [name, peer] : m_peers) {
    if (!IsNear(peer.data_centre)) {
      far.insert(peer.data_centre);
    }
  }
  return far;
}

void EntryPeers::AskFar(TimePoint now) {
  const auto far = FarDataCentres();
  const double rounds =
      ToSeconds(m_policy.far_interval) / ToSeconds(m_policy.interval);
  const auto count =
      static_cast<size_t>(std::ceil(static_cast<double>(far.size()) / rounds));
  auto next = far.upper_bound(m_last_far);
  for (size_t i = 0; i < count; ++i) {
    if (next == far.end()) {
      next = far.begin();
    }
    m_last_far = *next;
    AskOneOf(*next, now);
    ++next;
  }
}

void EntryPeers::AskOneOf(std::string_view data_centre, TimePoint now) {
  std::vector<std::string_view> names;
  for (const auto& [name, peer] : m_peers) {
    if (peer.data_centre == data_centre && !peer.client->busy()) {
      names.push_back(name);
    }
  }
  if (names.empty()) {
    return;
  }
  // From a random one on, past those that are silent.
  const size_t start = m_random() % names.size();
  for (size_t i = 0; i < names.size(); ++i) {
    const auto peer = m_peers.find(names[(start + i) % names.size()]);
    if (TryAsk(peer->first, peer->second, now)) {
      return;
    }
  }
}

bool EntryPeers::TryAsk(const std::string& name, Peer& peer, TimePoint now) {
  const Duration pause = peer.silent ? m_policy.silent_interval : Duration(0);
  if (peer.client->busy() || now - peer.asked_at < pause) {
    return false;
  }
  Ask(name, peer, now);
  return true;
}

void EntryPeers::Ask(const std::string& name, Peer& peer, TimePoint now) {
  peer.asked_at = now;
  const NewsAsk ask{OwnNews(peer.data_centre), name == m_config_from};
  peer.client->Ask(
      EncodeNewsAsk(ask), m_policy.ask_timeout,
      [this, name](const std::string* payload) { OnAnswer(name, payload); });
}

void EntryPeers::OnAnswer(const std::string& name, const std::string* payload) {
  const auto peer = m_peers.find(name);
  if (peer == m_peers.end()) {
    return;
  }
  if (peer->second.silent != (payload == nullptr)) {
    peer->second.silent = payload == nullptr;
    Log(LogLevel::kInfo, payload == nullptr ? "peer-lost" : "peer-back",
        {{"peer", name}});
  }
  if (payload == nullptr) {
    if (name == m_config_from) {
      m_config_from.clear();
    }
    return;
  }
  const Result<NewsAnswer> answer = DecodeNewsAnswer(*payload);
  if (!answer) {
    Log(LogLevel::kWarning, "peer-refused",
        {{"peer", name}, {"why", answer.error().message}});
    return;
  }
  NoteNews(answer->state, MonotonicNow());
  TakeOver(*answer);
  WantConfig(name, answer->state);
}

void EntryPeers::WantConfig(const std::string& name, const NewsState& state) {
  const TimePoint now = MonotonicNow();
  const uint64_t own =
      m_host.catalog() == nullptr ? 0 : m_host.catalog()->version();
  if (state.config_version <= own) {
    if (name == m_config_from) {
      m_config_from.clear();
    }
    return;
  }
  const bool asking =
      !m_config_from.empty() && now - m_config_asked_at < m_policy.ask_timeout;
  const auto peer = m_peers.find(name);
  if (asking || peer == m_peers.end() || peer->second.client->busy()) {
    return;
  }
  m_config_from = name;
  m_config_asked_at = now;
  Ask(name, peer->second, now);
}

void EntryPeers::OnQuestion(std::string_view payload,
                            const PeerServer::Answer& answer) {
  const Result<NewsAsk> ask = DecodeNewsAsk(payload);
  if (!ask) {
    Log(LogLevel::kWarning, "peer-refused", {{"why", ask.error().message}});
    return;
  }
  const TimePoint now = MonotonicNow();
  NoteNews(ask->state, now);
  AddPeer(ask->state.node, ask->state.address, ask->state.data_centre);
  const NewsState own = OwnNews(ask->state.data_centre);
  answer(EncodeNewsAnswer(AnswerNews(
      own, ask->wants_config ? m_host.packed_catalog() : std::string(),
      m_host.server_log(), *ask)));
  // The asker knows more: ask back at once, so that a change passes on at the
  // speed of the network and not of the rounds.
  const auto peer = m_peers.find(ask->state.node);
  if (peer != m_peers.end() && !peer->second.client->busy() &&
      ask->state.servers_revision > own.servers_revision) {
    Ask(peer->first, peer->second, now);
  }
  WantConfig(ask->state.node, ask->state);
}

void EntryPeers::TakeOverConfig(const NewsAnswer& answer) {
  m_config_from.clear();
  const auto text = Decompress(answer.config, kMostConfigBytes);
  Result<Catalog> catalog =
      text ? m_decoder.ReadCatalog(*text)
           : Fail(ResultCode::kResourceInvalid,
                  "the configuration cannot be unpacked, or is over " +
                      std::to_string(kMostConfigBytes) + " bytes.");
  if (catalog) {
    m_host.OnCatalog(std::make_shared<const Catalog>(std::move(*catalog)),
                     *text);
  } else {
    Log(LogLevel::kError, "config-invalid",
        {{"peer", answer.state.node}, {"why", catalog.error().message}});
  }
}

void EntryPeers::TakeOver(const NewsAnswer& answer) {
  if (!answer.config.empty()) {
    TakeOverConfig(answer);
  }
  if (answer.servers.empty() && !answer.servers_whole) {
    return;
  }
  ServerChanges changes;
  changes.whole = answer.servers_whole;
  changes.revision = answer.state.servers_revision;
  for (const LoggedObject& object : answer.servers) {
    if (object.text.empty()) {
      changes.removed.push_back({object.id, object.version});
      continue;
    }
    Result<BackendServer> server = m_decoder.ReadServer(object.id, object.text);
    if (server) {
      changes.changed.push_back(
          {std::move(*server), object.version, object.text});
    } else {
      Log(LogLevel::kWarning, "server-invalid",
          {{"peer", answer.state.node}, {"why", server.error().message}});
    }
  }
  m_host.OnServers(std::move(changes));
}

void EntryPeers::NoteNews(const NewsState& state, TimePoint now) {
  m_news.Note(state, now);
  if (state.store_back_for) {
    m_host.OnPeerSawStoreReturn(now - *state.store_back_for);
  }
}

void EntryPeers::SumLoads(TimePoint now) {
  const FleetNews::Loads heard = m_news.SumLoads(now);
  // Later a host that is listed and not heard has most likely gone.
  const bool settling = now - m_started < m_policy.settle;
  const size_t unheard = settling && m_peers.size() > heard.hosts
                             ? m_peers.size() - heard.hosts
                             : 0;
  m_host.OnRemoteLoads(heard.loads, heard.hosts, unheard);
  m_host.SetPrefersNear(m_peers.size() > m_policy.neighbours);
}

void EntryPeers::SetNeedsWatch(bool needs) {
  m_needs_watch = needs;
  m_feed.SetPrompt(needs);
  ChooseWatch(MonotonicNow());
}

void EntryPeers::ChooseWatch(TimePoint now) {
  const bool settling = now - m_started < m_policy.settle;
  if (settling && !m_listed && !m_needs_watch) {
    return;
  }
  m_news.ForgetOld(now);
  std::vector<std::string> all = {m_node};
  std::vector<std::string> able;
  if (settling) {
    for (const auto& [node, peer] : m_peers) {
      all.push_back(node);
      able.push_back(node);
    }
  } else {
    const std::vector<std::string> heard = m_news.Hosts(now);
    all.insert(all.end(), heard.begin(), heard.end());
    able = m_news.HostsWithStore(now);
  }
  if (!m_host.store_away()) {
    able.push_back(m_node);
  }
  // Those that cannot reach the store keep trying, so that the watch returns to
  // them; others stand in meanwhile.
  const auto first = ChooseWatchers(std::move(all), m_policy.watchers);
  const auto stand_in = ChooseWatchers(std::move(able), m_policy.watchers);
  const auto has = [this](const std::vector<std::string>& hosts) {
    return std::find(hosts.begin(), hosts.end(), m_node) != hosts.end();
  };
  const bool watching = m_needs_watch || has(first) || has(stand_in);
  if (watching != m_watching) {
    m_watching = watching;
    Log(LogLevel::kInfo, watching ? "watch-begins" : "watch-ends",
        {{"peers", m_news.Hosts(now).size()}});
    m_feed.SetWatching(watching);
  }
}

}  // namespace filbertrack
