#include "filbertrack/entry_relay.h"

/// EntryRelay: checks whether the request is blocked as a poison request, and
/// describes its attempts to the poison detection.

namespace filbertrack {

bool EntryRelay::CheckAdmission(TimePoint now) {
  if (m_context.poison.IsIdle()) {
    return true;
  }
  const EntryPoison::Admission passage =
      m_context.poison.CheckAdmission(digest(), now);
  m_on_trial = passage == EntryPoison::Admission::kTrial;
  return passage != EntryPoison::Admission::kRefused;
}

void EntryRelay::ReportServed() {
  if (!m_context.poison.IsIdle()) {
    m_context.poison.OnServed(digest());
  }
}

void EntryRelay::RefuseIfBlocked() {
  if (!m_state.answer_started && !m_on_trial &&
      m_context.poison.IsBlocked(digest())) {
    m_end_reason = "blocked as a poison request";
    Feed(NoTarget{ResultCode::kRequestEndsServers});
  }
}

AttemptProgress EntryRelay::Progress() const {
  if (m_attempt_first_event) {
    return AttemptProgress::kAnswering;
  }
  return m_attempt_status == 0 ? AttemptProgress::kNoAnswer
                               : AttemptProgress::kBegun;
}

const RequestDigest& EntryRelay::digest() const {
  if (m_digest.empty()) {
    m_digest = DigestRequest({m_exchange->method_text(),
                              m_request.facts.hostname, m_exchange->target(),
                              m_request.workspace, m_exchange->body()});
  }
  return m_digest;
}

const std::vector<std::string>& EntryRelay::shared_parts() const {
  if (!m_shared_parts) {
    m_shared_parts = m_context.header_codec.ReadSharedParts(m_exchange->Headers());
  }
  return *m_shared_parts;
}

}  // namespace filbertrack
