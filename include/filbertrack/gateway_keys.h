#pragma once

/// Idempotency keys on one entry host: asks the owner of a key's partition,
/// which is this host or another one, and keeps the partitions it owns.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "filbertrack/gateway_peers.h"
#include "filbertrack/keyed_partition.h"
#include "filbertrack/store_client.h"

namespace filbertrack {

class GatewayKeys {
 public:
  using Done = std::function<void(const KeyAnswer& answer)>;

  GatewayKeys(EventLoop& loop,
              const Settings& settings,
              StoreClient& store,
              GatewayPeers& peers);
  ~GatewayKeys();

  /// Asks whether a request may run. `done` is called once, at the latest when
  /// the owner's and this host's limits have passed; where the verdict is
  /// kUnavailable the claim is abandoned, so that a later try may run.
  void Claim(const std::string& ledger_key,
             const std::string& fingerprint,
             std::function<void(const KeyAnswer&, const KeyClaim&)> done);

  /// Records what came of a claim; tries until it is recorded.
  void Complete(KeyCompletion completion);

  /// Questions of other entry hosts to partitions that this one owns.
  void OnPeerRequest(const KeyedRequest& request,
                     const std::function<void(KeyedReply)>& reply);

  /// Writes to the object API begun by the partitions of this host.
  uint64_t writes() const;
  /// Claims made by callers of this host.
  uint64_t claims() const { return m_claims; }

 private:
  struct Outgoing {
    KeyOperation operation;
    Done done;
    TimePoint since;
  };
  struct Completion {
    KeyCompletion completion;
    TimePoint next_attempt;
    bool in_flight = false;
  };

  std::string PartitionOf(const std::string& ledger_key) const;
  void Send(KeyOperation operation, Done done);
  void SubmitLocal(const std::string& partition,
                   KeyOperation operation,
                   Done done);
  void Flush();
  void FlushTo(const std::string& node, std::vector<Outgoing> operations);
  void Tick();
  void RetryCompletions(TimePoint now);
  void Run(const std::string& partition, const std::vector<KeyAction>& actions);

  StoreClient& m_store;
  GatewayPeers& m_peers;
  KeyPartitionPolicy m_policy;
  int64_t m_partition_count;
  std::map<std::string, std::unique_ptr<KeyPartition>> m_partitions;
  std::map<uint64_t, Done> m_submitted;
  std::map<std::string, std::vector<Outgoing>> m_outgoing;
  std::map<std::string, bool> m_in_flight;
  std::map<uint64_t, Completion> m_completions;
  std::unique_ptr<Timer> m_timer;
  uint64_t m_last_id = 0;
  uint64_t m_claims = 0;
};

}  // namespace filbertrack
