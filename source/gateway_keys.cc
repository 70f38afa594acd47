#include "filbertrack/gateway_keys.h"

#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

constexpr Duration kTickInterval = Milliseconds(10);
constexpr Duration kRequestTimeout = Milliseconds(2500);
constexpr Duration kCompletionRetryInterval = Seconds(1);
/// Completions beyond this number are dropped. Their claims stay open in the
/// log, and retries with these keys are told that the outcome is unknown.
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
      // A write in transit may still record the claim. Nothing runs for it, so
      // it is closed as not run; otherwise a retry would be told that this
      // attempt is still running.
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
  for (auto& [id, waiting] : m_completions) {
    if (waiting.in_flight || now < waiting.next_attempt) {
      continue;
    }
    waiting.in_flight = true;
    waiting.next_attempt = now + kCompletionRetryInterval;
    Send(waiting.completion, [this, id = id](const KeyAnswer& answer) {
      if (answer.verdict == KeyVerdict::kRecorded) {
        m_completions.erase(id);
      } else {
        m_completions[id].in_flight = false;
      }
    });
  }
}

std::string GatewayKeys::PartitionOf(const std::string& ledger_key) const {
  return std::to_string(Hash64(ledger_key) %
                        static_cast<uint64_t>(m_partition_count));
}

void GatewayKeys::Send(KeyOperation operation, Done done) {
  const TimePoint now = MonotonicNow();
  const std::string partition = PartitionOf(KeyOf(operation));
  const std::string owner = m_peers.table().Owner("keyed/" + partition, now);
  if (owner == m_peers.table().self().node) {
    SubmitLocal(partition, std::move(operation), std::move(done));
    return;
  }
  m_outgoing[owner].push_back({std::move(operation), std::move(done), now});
}

void GatewayKeys::SubmitLocal(const std::string& partition,
                              KeyOperation operation,
                              Done done) {
  std::unique_ptr<KeyPartition>& owned = m_partitions[partition];
  if (owned == nullptr) {
    owned = std::make_unique<KeyPartition>(partition, m_policy);
  }
  const uint64_t id = ++m_last_id;
  m_submitted[id] = std::move(done);
  owned->Submit(id, std::move(operation), MonotonicNow());
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
  for (auto& [node, operations] : m_outgoing) {
    if (!operations.empty() && !m_in_flight[node]) {
      m_in_flight[node] = true;
      FlushTo(node, std::move(operations));
      operations.clear();
    }
  }
}

void GatewayKeys::FlushTo(const std::string& node,
                          std::vector<Outgoing> operations) {
  KeyedRequest request;
  request.from = m_peers.table().self().node;
  for (const Outgoing& outgoing : operations) {
    request.orders.push_back(
        {KeyOf(outgoing.operation), EncodeKeyOperation(outgoing.operation)});
  }
  auto sent = std::make_shared<std::vector<Outgoing>>(std::move(operations));
  m_peers.SendKeyedRequest(
      node, request, kRequestTimeout,
      [this, node, sent](const KeyedReply* reply) {
        m_in_flight[node] = false;
        for (size_t i = 0; i < sent->size(); ++i) {
          const bool known =
              reply != nullptr && reply->verdicts.size() == sent->size();
          (*sent)[i].done(known ? DecodeKeyAnswer(reply->verdicts[i])
                                : KeyAnswer());
        }
      });
}

void GatewayKeys::OnPeerRequest(const KeyedRequest& request,
                                const std::function<void(KeyedReply)>& reply) {
  struct PendingReply {
    KeyedReply reply;
    size_t remaining = 0;
  };
  auto pending = std::make_shared<PendingReply>();
  pending->reply.verdicts.resize(request.orders.size());
  pending->remaining = request.orders.size();
  for (size_t i = 0; i < request.orders.size(); ++i) {
    const auto done = [pending, reply, i](const KeyAnswer& verdict) {
      pending->reply.verdicts[i] = EncodeKeyAnswer(verdict);
      if (--pending->remaining == 0) {
        reply(pending->reply);
      }
    };
    Result<KeyOperation> operation =
        DecodeKeyOperation(request.orders[i].payload);
    if (!operation) {
      done(KeyAnswer());
      continue;
    }
    const std::string partition = PartitionOf(KeyOf(*operation));
    SubmitLocal(partition, std::move(*operation), done);
  }
  if (request.orders.empty()) {
    reply(KeyedReply());
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
      m_store.Get(read->key, [this, name](const StoreResponse& response) {
        Run(name, m_partitions[name]->OnRead(
                      response.object.key, ToKeyStatus(response.status),
                      response.object.value, response.object.version));
      });
    } else {
      const auto& write = std::get<WriteKeyObject>(action);
      m_store.Put(write.key, write.value, write.expected_version,
                  [this, name, key = write.key](const StoreResponse& response) {
                    Run(name, m_partitions[name]->OnWritten(
                                  key, ToKeyStatus(response.status),
                                  response.object.version));
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
