#pragma once

/// The marks of requests under which servers end, as the platform's store keeps
/// them. Without it a loss of all entry hosts at once would let each of these
/// requests end three more servers.
///
/// Every host reads the record when it starts. The holder of the lease writes
/// it, so that one host does; an operator lifts a mark there with a line of
/// `DIGEST lifted`.

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/entry_poison.h"
#include "filbertrack/entry_ports.h"
#include "filbertrack/event_loop.h"

namespace filbertrack {

/// Lines of the record.
struct PoisonRecordText {
  std::vector<Blocked> blocked;
  std::vector<RequestDigest> unblocked;
};

std::string FormatPoisonRecord(const std::vector<Blocked>& blocked);
/// Lines that cannot be read are passed over: a damaged one must not lift the
/// others' marks.
PoisonRecordText ParsePoisonRecord(std::string_view text);

struct PoisonRecordPolicy {
  /// At a start the record is read this often, so long apart: a cheap read may
  /// be seconds old, and lack what was written just before the loss of all.
  int start_reads = 3;
  Duration start_spacing = Seconds(2);
  /// The holder of the lease looks this often for marks to write: well within
  /// the time in which all hosts must know of one.
  Duration interval = Milliseconds(500);
  /// While there are marks the holder reads the record this often, for what
  /// operators lift.
  Duration read_interval = Seconds(5);
};

class EntryPoisonRecord {
 public:
  EntryPoisonRecord(EventLoop& loop,
                    PoisonRecordPolicy policy,
                    EntryPoison& poison,
                    RecordStore& records,
                    std::function<bool()> is_writer);
  ~EntryPoisonRecord();

  void Start();

 private:
  void Read();
  void OnRead(const StoreAnswer& answer);
  void Apply(const StoredObject& object);
  void Tick();
  void Write();
  /// The record as it should be.
  std::string DesiredText() const;

  EventLoop& m_loop;
  PoisonRecordPolicy m_policy;
  EntryPoison& m_poison;
  RecordStore& m_records;
  std::function<bool()> m_is_writer;
  int m_start_reads = 0;
  bool m_call_in_flight = false;
  /// The newest version that is known; 0: there is no record.
  uint64_t m_version = 0;
  std::string m_text;
  TimePoint m_read_at;
  std::unique_ptr<Timer> m_timer;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack
