#include "filbertrack/entry_peers.h"

#include <nlohmann/json.hpp>

#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

constexpr std::string_view kSecretRecord = "peer-secret";
constexpr std::string_view kHostPrefix = "entry-host-";
/// Between tries to read or write the records that a start needs.
constexpr Duration kStartRetry = Milliseconds(500);

}  // namespace

EntryPeers::EntryPeers(EventLoop& loop,
                       const std::string& node,
                       const Address& listen,
                       EntryPeersPolicy policy,
                       EntryHost& host,
                       const SiteDecoder& decoder,
                       RecordStore& records)
    : m_loop(loop),
      m_node(node),
      m_listen(listen),
      m_policy(policy),
      m_host(host),
      m_decoder(decoder),
      m_records(records),
      m_proposed_secret(RandomId() + RandomId()) {}

EntryPeers::~EntryPeers() = default;

void EntryPeers::Start() {
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
    m_retry_timer = m_loop.After(kStartRetry, [this] { LoadSecret(); });
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
      std::string(kHostPrefix) + m_node, m_listen.ToString(), expected_version,
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
        m_list_timer = m_loop.After(m_policy.list_interval, [this] { List(); });
      });
}

void EntryPeers::OnListed(const std::vector<StoredObject>& records) {
  for (const StoredObject& record : records) {
    const std::string name = record.key.substr(kHostPrefix.size());
    const Result<Address> address = ParseAddress(record.value);
    if (name == m_node || !address) {
      continue;
    }
    Peer& peer = m_peers[name];
    if (peer.client == nullptr || !(peer.address == *address)) {
      peer.address = *address;
      peer.client = std::make_unique<PeerClient>(m_loop, m_secret, *address);
    }
  }
}

void EntryPeers::Round() {
  const TimePoint now = MonotonicNow();
  SumLoads(now);
  size_t asked = 0;
  // In turn, from where the last round ended, so that all are asked.
  auto next = m_peers.upper_bound(m_last_asked);
  for (size_t i = 0; i < m_peers.size() && asked < m_policy.neighbours; ++i) {
    if (next == m_peers.end()) {
      next = m_peers.begin();
    }
    Peer& peer = next->second;
    const Duration pause = peer.silent ? m_policy.silent_interval : Duration(0);
    if (!peer.client->busy() && now - peer.asked_at >= pause) {
      Ask(next->first, peer, now);
      m_last_asked = next->first;
      ++asked;
    }
    ++next;
  }
}

void EntryPeers::Ask(const std::string& name, Peer& peer, TimePoint now) {
  peer.asked_at = now;
  peer.client->Ask(
      EncodeNewsAsk({m_host.OwnNews()}), m_policy.ask_timeout,
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
    return;
  }
  const Result<NewsAnswer> answer = DecodeNewsAnswer(*payload);
  if (!answer) {
    Log(LogLevel::kWarning, "peer-refused",
        {{"peer", name}, {"why", answer.error().message}});
    return;
  }
  NoteLoads(answer->state, MonotonicNow());
  TakeOver(*answer);
}

void EntryPeers::OnQuestion(std::string_view payload,
                            const PeerServer::Answer& answer) {
  const Result<NewsAsk> ask = DecodeNewsAsk(payload);
  if (!ask) {
    Log(LogLevel::kWarning, "peer-refused", {{"why", ask.error().message}});
    return;
  }
  NoteLoads(ask->state, MonotonicNow());
  answer(EncodeNewsAnswer(AnswerNews(m_host.OwnNews(), m_host.catalog_text(),
                                     m_host.server_log(), ask->state)));
}

void EntryPeers::TakeOver(const NewsAnswer& answer) {
  if (!answer.config.empty()) {
    Result<Catalog> catalog = m_decoder.ReadCatalog(answer.config);
    if (catalog) {
      m_host.OnCatalog(std::make_shared<const Catalog>(std::move(*catalog)),
                       answer.config);
    } else {
      Log(LogLevel::kError, "config-invalid",
          {{"peer", answer.state.node}, {"why", catalog.error().message}});
    }
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

void EntryPeers::NoteLoads(const NewsState& state, TimePoint now) {
  m_loads[state.node] = {state.loads, now};
}

void EntryPeers::SumLoads(TimePoint now) {
  std::erase_if(m_loads, [this, now](const auto& row) {
    return now - row.second.heard_at > m_policy.load_life;
  });
  std::map<std::string, TargetLoad, std::less<>> sums;
  for (const auto& [node, loads] : m_loads) {
    for (const NewsLoad& load : loads.loads) {
      TargetLoad& sum = sums[load.target];
      sum.requests += load.requests;
      sum.prompt_tokens += load.prompt_tokens;
    }
  }
  m_host.OnRemoteLoads(sums, m_loads.size());
}

}  // namespace filbertrack
