#include <nlohmann/json.hpp>

#include "filbertrack/entry_host.h"
#include "filbertrack/log.h"

/// The part of an entry host that bounds what it holds for its callers.

namespace filbertrack {

namespace {

/// Part of the process's memory that may be held for callers: answers that they
/// have not taken and bodies of their requests.
constexpr double kHeldPart = 0.25;
constexpr double kBytesPerMb = 1024 * 1024;

}  // namespace

HeldAnswersPolicy HeldPolicyOf(const Settings& settings) {
  HeldAnswersPolicy policy;
  policy.most_bytes = static_cast<size_t>(settings.Number("node", "memory_mb") *
                                          kBytesPerMb * kHeldPart);
  return policy;
}

size_t EntryHost::HeldBytes() const {
  size_t bytes = m_caller_server->RequestBytes();
  for (const HeldAnswer& held : m_caller_server->HeldAnswers(MonotonicNow())) {
    bytes += held.bytes;
  }
  return bytes;
}

void EntryHost::CheckHeldBytes() {
  const std::vector<HeldAnswer> answers =
      m_caller_server->HeldAnswers(MonotonicNow());
  size_t other = m_caller_server->RequestBytes();
  for (const auto& [key, relay] : m_relays) {
    other += relay->gathered_bytes();
  }
  const bool was_full = m_held.is_full;
  m_held = JudgeHeldAnswers(answers, other, m_held_policy);
  for (const uint64_t connection : m_held.drops) {
    m_caller_server->Drop(connection);
  }
  if (m_held.is_full != was_full || !m_held.drops.empty()) {
    Log(LogLevel::kWarning, "held-bytes",
        {{"answers", answers.size()},
         {"other_bytes", other},
         {"dropped", m_held.drops.size()},
         {"full", m_held.is_full}});
  }
  for (EntryRelay* relay : OpenRelays()) {
    relay->CheckReader(m_held.pauses);
  }
}

}  // namespace filbertrack
