#include <nlohmann/json.hpp>

#include "filbertrack/entry_host.h"
#include "filbertrack/log.h"

/// EntryHost: bounds the memory held for callers.

namespace filbertrack {

namespace {

/// Fraction of the process's memory that may hold unread responses and request
/// bodies of callers.
constexpr double kHeldMemoryFraction = 0.25;
constexpr double kBytesPerMb = 1024 * 1024;

}  // namespace

HeldAnswersPolicy HeldPolicyOf(const Settings& settings) {
  HeldAnswersPolicy policy;
  policy.max_bytes = static_cast<size_t>(settings.Number("node", "memory_mb") *
                                         kBytesPerMb * kHeldMemoryFraction);
  return policy;
}

size_t EntryHost::HeldBytes() const {
  size_t bytes = m_caller_server->RequestBytes();
  if (m_forward_server != nullptr) {
    bytes += m_forward_server->RequestBytes();
  }
  for (const HeldAnswer& held : m_caller_server->HeldAnswers(MonotonicNow())) {
    bytes += held.bytes;
  }
  return bytes;
}

void EntryHost::CheckHeldBytes() {
  const std::vector<HeldAnswer> answers =
      m_caller_server->HeldAnswers(MonotonicNow());
  size_t other = m_caller_server->RequestBytes();
  if (m_forward_server != nullptr) {
    other += m_forward_server->RequestBytes();
    // Dropping one would break off the response of a caller that may read fast.
    for (const HeldAnswer& held :
         m_forward_server->HeldAnswers(MonotonicNow())) {
      other += held.bytes;
    }
  }
  for (const auto& [key, relay] : m_relays) {
    other += relay->buffered_bytes();
  }
  const bool was_full = m_held_decision.is_full;
  m_held_decision = EvaluateHeldAnswers(answers, other, m_held_policy);
  for (const uint64_t connection : m_held_decision.drops) {
    m_caller_server->Drop(connection);
  }
  if (m_held_decision.is_full != was_full || !m_held_decision.drops.empty()) {
    Log(LogLevel::kWarning, "held-bytes",
        {{"answers", answers.size()},
         {"other_bytes", other},
         {"dropped", m_held_decision.drops.size()},
         {"full", m_held_decision.is_full}});
  }
  for (EntryRelay* relay : OpenRelays()) {
    relay->UpdateReadPause(m_held_decision.pauses);
  }
}

}  // namespace filbertrack
