#include "filbertrack/gateway_keys.h"

#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

constexpr Duration kTickInterval = Milliseconds(10);
constexpr Duration kAskTimeout = Milliseconds(2500);
constexpr Duration kCompletionRetry = Seconds(1);
/// What is not recorded by then stays open in the log: later tries with the key
/// are told that its outcome is unknown.
constexpr size_t kMaxOpenCompletions = 100000;

KeyStoreStatus ToKeyStatus(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return KeyStoreStatus::kOk;
    case StoreStatus::kConflict:
      return KeyStoreStatus::kConflict;
    case StoreStatus::kNotFound:
      return KeyStoreStatus::kNotFound;
    case StoreStatus::kUnavailable:
      return KeyStoreStatus::kUnavailable;
  }
  return KeyStoreStatus::kUnavailable;
}

}  // namespace

GatewayKeys::GatewayKeys(EventLoop& loop,
                         const Settings& settings,
                         StoreClient& store,
                         GatewayPeers& peers)
    : m_store(store),
      m_peers(peers),
      m_partition_count(settings.Integer("keys", "partitions")) {
  m_policy.gather = settings.Time("keys", "gather");
  m_policy.retention_ms = ToMilliseconds(settings.Time("keys", "retention"));
  m_timer = loop.Every(kTickInterval, [this] { Tick(); });
}

GatewayKeys::~GatewayKeys() = default;

void GatewayKeys::Claim(
    const std::string& ledger_key,
    const std::string& fingerprint,
    std::function<void(const KeyAnswer&, const KeyClaim&)> done) {
  ++m_claims;
  const PeerState& self = m_peers.table().self();
  KeyClaim claim{ledger_key, RandomId(), self.node, self.incarnation,
                 fingerprint};
  Send(claim, [this, claim, done = std::move(done)](const KeyAnswer& answer) {
    if (answer.verdict == KeyVerdict::kUnavailable) {
      // The claim may still be recorded by a write that is on its way. Nothing
      // runs for it, so it is closed as such; otherwise the caller's next try
      // would be told that this one is running.
      Complete({claim.key, claim.claim_id, Outcome::kNotRun, 0, "", "", false});
    }
    done(answer, claim);
  });
}

void GatewayKeys::Complete(KeyCompletion completion) {
  if (m_completions.size() < kMaxOpenCompletions) {
    m_completions[++m_last_id] = {std::move(completion), TimePoint(), false};
  }
}

void GatewayKeys::RetryCompletions(TimePoint now) {
  for (auto& [id, open] : m_completions) {
    if (open.asking || now < open.next_try) {
      continue;
    }
    open.asking = true;
    open.next_try = now + kCompletionRetry;
    Send(open.completion, [this, id = id](const KeyAnswer& answer) {
      if (answer.verdict == KeyVerdict::kRecorded) {
        m_completions.erase(id);
      } else {
        m_completions[id].asking = false;
      }
    });
  }
}

std::string GatewayKeys::PartitionOf(const std::string& ledger_key) const {
  return std::to_string(Hash64(ledger_key) %
                        static_cast<uint64_t>(m_partition_count));
}

void GatewayKeys::Send(KeyOperation order, Done done) {
  const TimePoint now = MonotonicNow();
  const std::string partition = PartitionOf(KeyOf(order));
  const std::string owner = m_peers.table().Owner("keyed/" + partition, now);
  if (owner == m_peers.table().self().node) {
    SubmitHere(partition, std::move(order), std::move(done));
    return;
  }
  m_outgoing[owner].push_back({std::move(order), std::move(done), now});
}

void GatewayKeys::SubmitHere(const std::string& partition,
                             KeyOperation order,
                             Done done) {
  std::unique_ptr<KeyPartition>& owned = m_partitions[partition];
  if (owned == nullptr) {
    owned = std::make_unique<KeyPartition>(partition, m_policy);
  }
  const uint64_t id = ++m_last_id;
  m_submitted[id] = std::move(done);
  owned->Submit(id, std::move(order), MonotonicNow());
}

void GatewayKeys::Tick() {
  const TimePoint now = MonotonicNow();
  RetryCompletions(now);
  Flush();
  const auto is_live = [this, now](const std::string& node,
                                   uint64_t incarnation) {
    const PeerTable& table = m_peers.table();
    if (node == table.self().node) {
      return incarnation == table.self().incarnation;
    }
    const auto record = table.records().find(node);
    const std::vector<std::string> live = table.Live(now);
    return record != table.records().end() &&
           record->second.state.incarnation == incarnation &&
           std::binary_search(live.begin(), live.end(), node);
  };
  for (auto& [name, partition] : m_partitions) {
    Run(name, partition->OnTick(is_live, now, WallTimeMs()));
  }
}

void GatewayKeys::Flush() {
  for (auto& [node, orders] : m_outgoing) {
    if (!orders.empty() && !m_asking[node]) {
      m_asking[node] = true;
      FlushTo(node, std::move(orders));
      orders.clear();
    }
  }
}

void GatewayKeys::FlushTo(const std::string& node,
                          std::vector<Outgoing> orders) {
  KeyedRequest ask;
  ask.from = m_peers.table().self().node;
  for (const Outgoing& outgoing : orders) {
    ask.orders.push_back(
        {KeyOf(outgoing.order), EncodeKeyOperation(outgoing.order)});
  }
  auto sent = std::make_shared<std::vector<Outgoing>>(std::move(orders));
  m_peers.AskKeyed(
      node, ask, kAskTimeout, [this, node, sent](const KeyedReply* answer) {
        m_asking[node] = false;
        for (size_t i = 0; i < sent->size(); ++i) {
          const bool known =
              answer != nullptr && answer->verdicts.size() == sent->size();
          (*sent)[i].done(known ? DecodeKeyAnswer(answer->verdicts[i])
                                : KeyAnswer());
        }
      });
}

void GatewayKeys::OnAsked(const KeyedRequest& ask,
                          const std::function<void(KeyedReply)>& answer) {
  struct Collected {
    KeyedReply answer;
    size_t open = 0;
  };
  auto collected = std::make_shared<Collected>();
  collected->answer.verdicts.resize(ask.orders.size());
  collected->open = ask.orders.size();
  for (size_t i = 0; i < ask.orders.size(); ++i) {
    const auto done = [collected, answer, i](const KeyAnswer& verdict) {
      collected->answer.verdicts[i] = EncodeKeyAnswer(verdict);
      if (--collected->open == 0) {
        answer(collected->answer);
      }
    };
    Result<KeyOperation> order = DecodeKeyOperation(ask.orders[i].payload);
    if (!order) {
      done(KeyAnswer());
      continue;
    }
    const std::string partition = PartitionOf(KeyOf(*order));
    SubmitHere(partition, std::move(*order), done);
  }
  if (ask.orders.empty()) {
    answer(KeyedReply());
  }
}

void GatewayKeys::Run(const std::string& name,
                      const std::vector<KeyAction>& actions) {
  for (const KeyAction& action : actions) {
    if (const auto* answered = std::get_if<AnswerKeyOperation>(&action)) {
      const auto submitted = m_submitted.find(answered->id);
      const Done done = std::move(submitted->second);
      m_submitted.erase(submitted);
      done(answered->answer);
    } else if (const auto* read = std::get_if<ReadKeyObject>(&action)) {
      m_store.Get(read->key, [this, name](const StoreAnswer& answer) {
        Run(name, m_partitions[name]->OnRead(
                      answer.object.key, ToKeyStatus(answer.status),
                      answer.object.value, answer.object.version));
      });
    } else {
      const auto& write = std::get<WriteKeyObject>(action);
      m_store.Put(write.key, write.value, write.expected_version,
                  [this, name, key = write.key](const StoreAnswer& answer) {
                    Run(name, m_partitions[name]->OnWritten(
                                  key, ToKeyStatus(answer.status),
                                  answer.object.version));
                  });
    }
  }
}

uint64_t GatewayKeys::writes() const {
  uint64_t writes = 0;
  for (const auto& [name, partition] : m_partitions) {
    writes += partition->writes();
  }
  return writes;
}

}  // namespace filbertrack
