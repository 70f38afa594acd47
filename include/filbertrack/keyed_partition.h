#pragma once

/// One partition of the idempotency keys, kept by its owner as a log in the
/// object API, with several operations per write. The set of live entry hosts
/// determines the owner. If two hosts both act as owner, only one can write:
/// every write is conditional on the version of the head object that the writer
/// last read.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "filbertrack/base_time.h"
#include "filbertrack/keyed_ledger.h"

namespace filbertrack {

struct KeyPartitionPolicy {
  /// Minimum interval between two batch writes.
  Duration gather = Milliseconds(40);
  /// An operation not recorded within this time is answered with
  /// KeyVerdict::kUnavailable.
  Duration operation_timeout = Seconds(2);
  /// Minimum interval between two attempts to load the log while the store does
  /// not answer.
  Duration retry = Milliseconds(200);
  /// A head object larger than this is sealed: its operations move to a segment
  /// object.
  size_t seal_bytes = 64 * 1024;
  /// Segments older than this are dropped together with their keys.
  int64_t retention_ms = 24LL * 3600 * 1000;
};

struct ReadKeyObject {
  std::string key;
};
struct WriteKeyObject {
  std::string key;
  std::string value;
  uint64_t expected_version = 0;
};
struct AnswerKeyOperation {
  uint64_t id = 0;
  KeyAnswer answer;
};
using KeyAction =
    std::variant<ReadKeyObject, WriteKeyObject, AnswerKeyOperation>;

/// Result of a read or a write.
enum class KeyStoreStatus { kOk, kConflict, kNotFound, kUnavailable };

class KeyPartition {
 public:
  KeyPartition(std::string name, KeyPartitionPolicy policy)
      : m_name(std::move(name)), m_policy(policy) {}

  /// Queues an operation. The answer is returned as an AnswerKeyOperation with
  /// the same `id`, at the latest after `operation_timeout`.
  void Submit(uint64_t id, KeyOperation operation, TimePoint now);

  /// Answers timed-out operations and starts the next read or write. Must be
  /// called periodically. `wall_ms` is the Unix time in ms that dates sealed
  /// segments.
  std::vector<KeyAction> OnTick(const IsLiveNode& is_live,
                                TimePoint now,
                                int64_t wall_ms);

  std::vector<KeyAction> OnRead(const std::string& key,
                                KeyStoreStatus status,
                                std::string_view value,
                                uint64_t version);

  std::vector<KeyAction> OnWritten(const std::string& key,
                                   KeyStoreStatus status,
                                   uint64_t version);

  /// Number of writes started, from which tests derive the operations per
  /// write.
  uint64_t writes() const { return m_writes; }

 private:
  struct PendingOperation {
    uint64_t id = 0;
    KeyOperation operation;
    TimePoint since;
  };
  struct Segment {
    uint64_t number = 0;
    std::string key;
    int64_t sealed_ms = 0;
  };
  struct Head {
    std::vector<Segment> segments;
    std::vector<KeyOperation> operations;
  };
  enum class Step { kIdle, kReading, kWriting, kSealing };

  std::string HeadKey() const { return "keyed/" + m_name + "/head"; }
  std::string SerializeHead(const Head& head) const;
  bool ParseHead(std::string_view text);
  void DiscardLoadedState();
  std::vector<KeyAction> ReadNext();
  std::vector<KeyAction> AnswerTimedOut(TimePoint now);
  std::vector<KeyAction> StartBatch(const IsLiveNode& is_live, TimePoint now);
  std::vector<KeyAction> StartSeal(int64_t wall_ms);
  KeyAction WriteHead(Head head);

  std::string m_name;
  KeyPartitionPolicy m_policy;
  Step m_step = Step::kIdle;
  bool m_loaded = false;
  uint64_t m_version = 0;
  Head m_head;
  std::set<std::string> m_read_segments;
  KeyLedger m_ledger;
  std::vector<PendingOperation> m_pending;
  /// Operations of the write in flight.
  std::vector<PendingOperation> m_batch;
  Head m_next_head;
  std::string m_sealing_key;
  std::optional<TimePoint> m_last_batch;
  std::optional<TimePoint> m_last_read;
  uint64_t m_writes = 0;
};

}  // namespace filbertrack
