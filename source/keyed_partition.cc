#include "filbertrack/keyed_partition.h"

#include <algorithm>

#include "filbertrack/base_json.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

Json OperationsToJson(const std::vector<KeyOperation>& operations) {
  Json list = Json::array();
  for (const KeyOperation& operation : operations) {
    list.push_back(ToJson(operation));
  }
  return list;
}

bool ParseOperations(const Json& list, std::vector<KeyOperation>& operations) {
  if (!list.is_array()) {
    return false;
  }
  for (const Json& value : list) {
    Result<KeyOperation> operation = ParseKeyOperation(value);
    if (!operation) {
      return false;
    }
    operations.push_back(std::move(*operation));
  }
  return true;
}

}  // namespace

void KeyPartition::Submit(uint64_t id, KeyOperation operation, TimePoint now) {
  m_pending.push_back({id, std::move(operation), now});
}

std::vector<KeyAction> KeyPartition::OnTick(const IsLiveNode& is_live,
                                            TimePoint now,
                                            int64_t wall_ms) {
  std::vector<KeyAction> actions = AnswerTimedOut(now);
  if (m_step != Step::kIdle) {
    return actions;
  }
  const auto add = [&actions](std::vector<KeyAction> more) {
    for (KeyAction& action : more) {
      actions.push_back(std::move(action));
    }
  };
  if (!m_loaded) {
    const bool due = !m_last_read || now >= *m_last_read + m_policy.retry;
    if (!m_pending.empty() && due) {
      m_last_read = now;
      m_step = Step::kReading;
      actions.emplace_back(ReadKeyObject{HeadKey()});
    }
    return actions;
  }
  if (SerializeHead(m_head).size() > m_policy.seal_bytes) {
    add(StartSeal(wall_ms));
    return actions;
  }
  if (!m_last_batch || now >= *m_last_batch + m_policy.gather) {
    add(StartBatch(is_live, now));
  }
  return actions;
}

std::vector<KeyAction> KeyPartition::AnswerTimedOut(TimePoint now) {
  std::vector<KeyAction> actions;
  const auto timed_out = [this, now,
                          &actions](const PendingOperation& pending) {
    if (now < pending.since + m_policy.operation_timeout) {
      return false;
    }
    actions.emplace_back(AnswerKeyOperation{pending.id, KeyAnswer()});
    return true;
  };
  std::erase_if(m_pending, timed_out);
  // A write in flight may still take effect. The submitter then abandons its
  // claims, so nothing runs for them.
  std::erase_if(m_batch, timed_out);
  return actions;
}

std::vector<KeyAction> KeyPartition::StartBatch(const IsLiveNode& is_live,
                                                TimePoint now) {
  std::vector<KeyAction> actions;
  Head next = m_head;
  for (PendingOperation& pending : m_pending) {
    std::optional<KeyAnswer> answer = m_ledger.Peek(pending.operation, is_live);
    if (answer) {
      actions.emplace_back(AnswerKeyOperation{pending.id, std::move(*answer)});
      continue;
    }
    // Applied before it is stored, so that a second claim of the key in the
    // same batch is not granted as well. If the write fails, the ledger is
    // reloaded.
    m_ledger.Apply(pending.operation);
    next.operations.push_back(pending.operation);
    m_batch.push_back(std::move(pending));
  }
  m_pending.clear();
  if (!m_batch.empty()) {
    m_last_batch = now;
    m_step = Step::kWriting;
    actions.push_back(WriteHead(std::move(next)));
  }
  return actions;
}

std::vector<KeyAction> KeyPartition::StartSeal(int64_t wall_ms) {
  const uint64_t number =
      m_head.segments.empty() ? 1 : m_head.segments.back().number + 1;
  // The head's version makes the object name unique to this owner. Another
  // owner that seals a segment of the same number with other operations writes
  // to another object.
  m_sealing_key = "keyed/" + m_name + "/segment-" + std::to_string(number) +
                  "-" + std::to_string(m_version);
  m_next_head = Head();
  for (const Segment& segment : m_head.segments) {
    if (wall_ms - segment.sealed_ms < m_policy.retention_ms) {
      m_next_head.segments.push_back(segment);
    }
  }
  m_next_head.segments.push_back({number, m_sealing_key, wall_ms});
  m_step = Step::kSealing;
  ++m_writes;
  return {WriteKeyObject{m_sealing_key,
                         OperationsToJson(m_head.operations).dump(), 0}};
}

KeyAction KeyPartition::WriteHead(Head head) {
  m_next_head = std::move(head);
  ++m_writes;
  return WriteKeyObject{HeadKey(), SerializeHead(m_next_head), m_version};
}

std::vector<KeyAction> KeyPartition::OnRead(const std::string& key,
                                            KeyStoreStatus status,
                                            std::string_view value,
                                            uint64_t version) {
  if (m_step != Step::kReading) {
    return {};
  }
  if (status == KeyStoreStatus::kUnavailable) {
    m_step = Step::kIdle;
    return {};
  }
  if (key != HeadKey()) {
    std::vector<KeyOperation> operations;
    const Json list = ParseJson(value).value_or(Json());
    if (status != KeyStoreStatus::kOk || !ParseOperations(list, operations)) {
      m_step = Step::kIdle;
      return {};
    }
    for (const KeyOperation& operation : operations) {
      m_ledger.Apply(operation);
    }
    m_read_segments.insert(key);
    return ReadNext();
  }
  m_head = Head();
  m_version = status == KeyStoreStatus::kOk ? version : 0;
  if (status == KeyStoreStatus::kOk && !ParseHead(value)) {
    m_step = Step::kIdle;
    return {};
  }
  return ReadNext();
}

std::vector<KeyAction> KeyPartition::ReadNext() {
  for (const Segment& segment : m_head.segments) {
    if (!m_read_segments.contains(segment.key)) {
      return {ReadKeyObject{segment.key}};
    }
  }
  for (const KeyOperation& operation : m_head.operations) {
    m_ledger.Apply(operation);
  }
  m_loaded = true;
  m_step = Step::kIdle;
  return {};
}

std::vector<KeyAction> KeyPartition::OnWritten(const std::string& key,
                                               KeyStoreStatus status,
                                               uint64_t version) {
  if (m_step == Step::kSealing && key == m_sealing_key) {
    if (status == KeyStoreStatus::kUnavailable) {
      // The object name is unique to this owner, so the next tick can write it
      // again.
      m_step = Step::kIdle;
      return {};
    }
    m_step = Step::kWriting;
    return {WriteHead(std::move(m_next_head))};
  }
  if (m_step != Step::kWriting) {
    return {};
  }
  m_step = Step::kIdle;
  if (status != KeyStoreStatus::kOk) {
    // Another owner wrote, or the outcome of the write is unknown. In both
    // cases the log determines which operations are recorded: those of this
    // batch found there are answered from it, the others are written again. A
    // delayed write does no harm, since by then its expected version is
    // outdated or its content is the same.
    DiscardLoadedState();
    return {};
  }
  std::vector<KeyAction> actions;
  m_version = version;
  m_head = std::move(m_next_head);
  for (const Segment& segment : m_head.segments) {
    m_read_segments.insert(segment.key);
  }
  for (const PendingOperation& recorded : m_batch) {
    const bool claim = std::holds_alternative<KeyClaim>(recorded.operation);
    KeyAnswer answer;
    answer.verdict = claim ? KeyVerdict::kRun : KeyVerdict::kRecorded;
    actions.emplace_back(AnswerKeyOperation{recorded.id, std::move(answer)});
  }
  m_batch.clear();
  return actions;
}

void KeyPartition::DiscardLoadedState() {
  m_loaded = false;
  m_last_read.reset();
  m_ledger = KeyLedger();
  m_read_segments.clear();
  for (PendingOperation& pending : m_batch) {
    m_pending.push_back(std::move(pending));
  }
  m_batch.clear();
}

std::string KeyPartition::SerializeHead(const Head& head) const {
  Json segments = Json::array();
  for (const Segment& segment : head.segments) {
    segments.push_back(
        Json::array({segment.number, segment.key, segment.sealed_ms}));
  }
  return Json({{"segments", segments},
               {"orders", OperationsToJson(head.operations)}})
      .dump();
}

bool KeyPartition::ParseHead(std::string_view text) {
  const Json value = ParseJson(text).value_or(Json());
  try {
    for (const Json& row : value.at("segments")) {
      m_head.segments.push_back({row.at(0), row.at(1), row.at(2)});
    }
    return ParseOperations(value.at("orders"), m_head.operations);
  } catch (const Json::exception&) {
    return false;
  }
}

}  // namespace filbertrack
