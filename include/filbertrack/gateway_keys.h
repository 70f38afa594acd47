#pragma once

/// Idempotency keys on one entry host. Sends operations to the owner of the
/// key's partition, which is this host or another one, and maintains the
/// partitions that this host owns.

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

  /// Claims a key for a request; the request may run if the verdict is kRun.
  /// `done` is called once, at the latest after the time-outs of the owner and
  /// of this host. If the verdict is kUnavailable, the claim is abandoned, so
  /// that a retry may run.
  void Claim(const std::string& ledger_key,
             const std::string& fingerprint,
             std::function<void(const KeyAnswer&, const KeyClaim&)> done);

  /// Records the outcome of a claim and retries until it is recorded. Dropped
  /// if 100000 completions are waiting already.
  void Complete(KeyCompletion completion);

  /// Handles operations of another entry host on partitions that this host
  /// owns. `reply` receives all verdicts at once.
  void OnPeerRequest(const KeyedRequest& request,
                     const std::function<void(KeyedReply)>& reply);

  /// Returns the number of writes to the object API that the partitions of this
  /// host have started.
  uint64_t writes() const;
  /// Returns the number of claims made for callers of this host.
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
