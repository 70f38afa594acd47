#pragma once

/// The rate limits that backend servers name in their answers, as this entry
/// host was told of them by the servers and by other entry hosts.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "filbertrack/base_time.h"
#include "filbertrack/server_instance.h"

namespace filbertrack {

/// What the head of one answer says of its server's limit.
struct LimitObservation {
  ServerInstance server;
  /// Requests a second, from all entry hosts together; nullopt: none is named.
  std::optional<double> limit;
  /// When the request was sent.
  TimePoint sent;
};

/// What is known of one server, for another entry host.
struct LimitRecord {
  ServerInstance server;
  /// nullopt: it named a limit before, and does no more.
  std::optional<double> limit;
  /// Time since the server said so.
  Duration age{0};
};

/// Words for another entry host.
struct LimitUpdate {
  /// The teller's words up to this revision are told with these.
  uint64_t revision = 0;
  std::vector<LimitRecord> words;
};

struct LimitPolicy {
  /// A limit that no answer named for this long is forgotten.
  Duration limit_ttl = Seconds(600);
  /// The end of a limit is remembered against late news of the limit.
  Duration tombstone_ttl = Seconds(60);
  size_t max_records_per_message = 256;
  size_t max_records = 4096;
};

class LimitLedger {
 public:
  /// Revisions begin above `first_revision`: random, so that a host that starts
  /// again is not taken for the one before.
  LimitLedger(LimitPolicy policy, uint64_t first_revision)
      : m_policy(policy), m_revision(first_revision) {}

  /// True if the limit of the server changed. An answer without a limit counts
  /// only if its request was sent after the limit was last named: answers on
  /// different connections may overtake each other.
  bool OnAnswer(const LimitObservation& observation, TimePoint now);

  /// A word of another entry host; true if the limit of the server changed.
  bool OnPeerUpdate(const LimitRecord& record, TimePoint now);

  /// Requests a second; nullopt: the server names no limit.
  std::optional<double> LimitOf(const ServerInstance& server) const;

  /// Servers that name a limit.
  std::vector<ServerInstance> LimitedServers() const;

  /// Drops words that are old, and the oldest above the bound. True if there
  /// were any.
  bool ForgetOld(TimePoint now);

  uint64_t revision() const { return m_revision; }
  /// Words that came after `known`, a revision of this ledger; all of them
  /// where it is none.
  LimitUpdate Since(uint64_t known, TimePoint now) const;

 private:
  struct StoredLimit {
    std::optional<double> limit;
    /// When the server last said so.
    TimePoint at;
    /// `at` as other entry hosts were told.
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
