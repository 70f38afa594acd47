#pragma once

/// Stores the rate limits that backend servers name in their answers, as
/// received from the servers and, by gossip, from other entry hosts.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "filbertrack/base_time.h"
#include "filbertrack/server_instance.h"

namespace filbertrack {

/// The limit that the header of one answer names for its server.
struct LimitObservation {
  ServerInstance server;
  /// Requests per second, from all entry hosts together; nullopt: the answer
  /// names no limit.
  std::optional<double> limit;
  /// When the request of this answer was sent.
  TimePoint sent;
};

/// The limit of one server as sent to another entry host.
struct LimitRecord {
  ServerInstance server;
  /// Requests per second; nullopt: the server named a limit before and names
  /// none any more.
  std::optional<double> limit;
  /// Time since the server last named it.
  Duration age{0};
};

/// Limit records for another entry host.
struct LimitUpdate {
  /// With `words`, the receiver has the sender's records up to this revision.
  uint64_t revision = 0;
  std::vector<LimitRecord> words;
};

struct LimitPolicy {
  /// How long a limit is kept after an answer last named it.
  Duration limit_ttl = Seconds(600);
  /// How long the end of a limit is kept, so that a delayed record of the limit
  /// does not restore it.
  Duration tombstone_ttl = Seconds(60);
  size_t max_records_per_message = 256;
  size_t max_records = 4096;
};

class LimitLedger {
 public:
  /// Revisions begin above `first_revision`, which should be random: peers then
  /// do not mistake the revisions of a restarted host for earlier ones.
  LimitLedger(LimitPolicy policy, uint64_t first_revision)
      : m_policy(policy), m_revision(first_revision) {}

  /// True if the limit of the server changed. An answer without a limit removes
  /// the limit only if its request was sent after the limit was last named,
  /// because answers on different connections may arrive out of order.
  bool OnAnswer(const LimitObservation& observation, TimePoint now);

  /// Merges a record of another entry host unless the stored one is more
  /// recent. True if the limit of the server changed.
  bool OnPeerUpdate(const LimitRecord& record, TimePoint now);

  /// Requests per second; nullopt: the server names no limit.
  std::optional<double> LimitOf(const ServerInstance& server) const;

  /// The servers that name a limit.
  std::vector<ServerInstance> LimitedServers() const;

  /// Drops records that have expired and, above max_records, the oldest ones.
  /// True if any was dropped.
  bool ForgetOld(TimePoint now);

  uint64_t revision() const { return m_revision; }
  /// Records changed after revision `known`, oldest first, at most
  /// max_records_per_message. All records count as changed if `known` is higher
  /// than the current revision, as after a restart of this host.
  LimitUpdate Since(uint64_t known, TimePoint now) const;

 private:
  struct StoredLimit {
    std::optional<double> limit;
    /// When the server last named it.
    TimePoint at;
    /// The value of `at` that was last advertised to other entry hosts.
    TimePoint advertised_at;
    uint64_t revision = 0;
  };

  void Refresh(StoredLimit& record, TimePoint at);
  void Put(const ServerInstance& server,
           std::optional<double> limit,
           TimePoint at);

  LimitPolicy m_policy;
  uint64_t m_revision;
  std::map<ServerInstance, StoredLimit> m_stored;
};

}  // namespace filbertrack
