#include "filbertrack/entry_poison_record.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <nlohmann/json.hpp>

#include "filbertrack/log.h"

namespace filbertrack {

namespace {

constexpr std::string_view kRecordName = "poison-requests";
constexpr std::string_view kUnblock = "lifted";

std::string_view TakeUntil(std::string_view& text, char end) {
  const size_t size = std::min(text.find(end), text.size());
  const std::string_view taken = text.substr(0, size);
  text.remove_prefix(std::min(size + 1, text.size()));
  return taken;
}

std::optional<int> ReadCount(std::string_view text) {
  int count = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, count);
  if (read.ec != std::errc() || read.ptr != end || count < 0) {
    return std::nullopt;
  }
  return count;
}

}  // namespace

std::string FormatPoisonRecord(const std::vector<Blocked>& blocked) {
  std::string text;
  for (const Blocked& request : blocked) {
    text.append(FormatPoisonSubject(request.subject()))
        .append(" ")
        .append(std::to_string(request.ends))
        .append(" ")
        .append(std::to_string(request.trials))
        .append("\n");
  }
  return text;
}

PoisonRecordText ParsePoisonRecord(std::string_view text) {
  PoisonRecordText record;
  while (!text.empty()) {
    const std::string_view line = TakeUntil(text, '\n');
    std::string_view rest = line;
    const PoisonSubject subject = ParsePoisonSubject(TakeUntil(rest, ' '));
    const bool is_valid = !subject.digest.empty() || !subject.parts.empty();
    if (is_valid && rest == kUnblock) {
      record.unblocked.push_back(subject);
      continue;
    }
    const auto ends = ReadCount(TakeUntil(rest, ' '));
    const auto trials = ReadCount(rest);
    if (is_valid && ends && trials) {
      record.blocked.push_back({subject.digest, *ends, *trials, subject.parts});
    } else {
      Log(LogLevel::kWarning, "poison-record-invalid", {{"line", line}});
    }
  }
  return record;
}

EntryPoisonRecord::EntryPoisonRecord(EventLoop& loop,
                                     PoisonRecordPolicy policy,
                                     EntryPoison& poison,
                                     RecordStore& records,
                                     std::function<bool()> is_writer)
    : m_loop(loop),
      m_policy(policy),
      m_poison(poison),
      m_records(records),
      m_is_writer(std::move(is_writer)) {}

EntryPoisonRecord::~EntryPoisonRecord() {
  *m_alive = false;
}

void EntryPoisonRecord::Start() {
  Read();
  m_timer = m_loop.Every(m_policy.interval, [this] { Tick(); });
}

void EntryPoisonRecord::Read() {
  m_call_in_flight = true;
  m_read_at = MonotonicNow();
  m_records.Read(std::string(kRecordName),
                 [this, alive = m_alive](const StoreResponse& answer) {
                   if (*alive) {
                     m_call_in_flight = false;
                     OnRead(answer);
                   }
                 });
}

void EntryPoisonRecord::OnRead(const StoreResponse& answer) {
  if (answer.status == StoreStatus::kOk) {
    ++m_start_reads;
    Apply(answer.object);
  } else if (answer.status == StoreStatus::kNotFound) {
    ++m_start_reads;
  }
}

void EntryPoisonRecord::Apply(const StoredObject& object) {
  // Reads may be stale, so an older version than the known one is ignored.
  if (object.version <= m_version) {
    return;
  }
  m_version = object.version;
  m_text = object.value;
  const TimePoint now = MonotonicNow();
  const PoisonRecordText record = ParsePoisonRecord(object.value);
  for (const Blocked& request : record.blocked) {
    m_poison.OnRecorded(request, now);
  }
  for (const PoisonSubject& subject : record.unblocked) {
    m_poison.OnUnblocked(subject, now);
  }
}

void EntryPoisonRecord::Tick() {
  const TimePoint now = MonotonicNow();
  if (m_call_in_flight) {
    return;
  }
  const bool starting = m_start_reads < m_policy.start_reads;
  if (starting && now - m_read_at >= m_policy.start_spacing) {
    Read();
    return;
  }
  if (m_start_reads == 0 || !m_is_writer()) {
    return;
  }
  if (DesiredText() != m_text) {
    Write();
  } else if (!m_text.empty() && now - m_read_at >= m_policy.read_interval) {
    Read();
  }
}

std::string EntryPoisonRecord::DesiredText() const {
  return FormatPoisonRecord(m_poison.ActiveBlocks());
}

void EntryPoisonRecord::Write() {
  m_call_in_flight = true;
  const std::string text = DesiredText();
  m_records.Write(std::string(kRecordName), text, m_version,
                  [this, alive = m_alive, text](const StoreResponse& answer) {
                    if (!*alive) {
                      return;
                    }
                    m_call_in_flight = false;
                    if (answer.status == StoreStatus::kOk) {
                      m_version = std::max(m_version, answer.object.version);
                      m_text = text;
                      return;
                    }
                    if (answer.status == StoreStatus::kConflict) {
                      Apply(answer.object);
                    } else if (answer.status == StoreStatus::kNotFound) {
                      m_version = 0;
                    } else {
                      // The write may have taken effect although it failed.
                      Read();
                    }
                  });
}

}  // namespace filbertrack
