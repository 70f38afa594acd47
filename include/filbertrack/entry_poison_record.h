#pragma once

/// Persists the blocked poison requests in a record of the platform's store.
/// Without it, losing all entry hosts at once would let each of these requests
/// crash three more servers before it is blocked again.
///
/// Every host reads the record when it starts. Only the lease holder writes it,
/// so that there is a single writer. An operator unblocks a request by writing
/// a line `DIGEST lifted` to the record, and a set of prompt parts by the same
/// with the text of its line, such as `part:5c1e07a2 lifted`.

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/entry_poison.h"
#include "filbertrack/entry_ports.h"
#include "filbertrack/event_loop.h"

namespace filbertrack {

/// Parsed lines of the record.
struct PoisonRecordText {
  std::vector<Blocked> blocked;
  std::vector<PoisonSubject> unblocked;
};

std::string FormatPoisonRecord(const std::vector<Blocked>& blocked);
/// Skips and logs lines that cannot be parsed: a damaged line must not unblock
/// the requests of the others.
PoisonRecordText ParsePoisonRecord(std::string_view text);

struct PoisonRecordPolicy {
  /// Number of successful reads after the start and the time between them. One
  /// is not enough: reads may return data that is seconds old and lacks what
  /// was written just before all entry hosts were lost.
  int start_reads = 3;
  Duration start_spacing = Seconds(2);
  /// Interval at which the lease holder checks for changes to write; well below
  /// the time within which all hosts must know of a blocked request.
  Duration interval = Milliseconds(500);
  /// Interval at which the lease holder reads a non-empty record to find
  /// requests that an operator unblocked.
  Duration read_interval = Seconds(5);
};

class EntryPoisonRecord {
 public:
  /// `is_writer` says whether this host holds the lease at the moment.
  EntryPoisonRecord(EventLoop& loop,
                    PoisonRecordPolicy policy,
                    EntryPoison& poison,
                    RecordStore& records,
                    std::function<bool()> is_writer);
  ~EntryPoisonRecord();

  void Start();

 private:
  void Read();
  void OnRead(const StoreResponse& answer);
  void Apply(const StoredObject& object);
  void Tick();
  void Write();
  /// Text of the record for the requests that are blocked now.
  std::string DesiredText() const;

  EventLoop& m_loop;
  PoisonRecordPolicy m_policy;
  EntryPoison& m_poison;
  RecordStore& m_records;
  std::function<bool()> m_is_writer;
  int m_start_reads = 0;
  bool m_call_in_flight = false;
  /// Newest known version of the record; 0 if it does not exist.
  uint64_t m_version = 0;
  std::string m_text;
  TimePoint m_read_at;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack
