#include "filbertrack/entry_relay.h"

/// EntryRelay: checks whether the request is blocked as a poison request, and
/// describes its attempts to the poison detection.

namespace filbertrack {

namespace {

/// Time after the first event of an answer from which on its prompt is known
/// not to have crashed the server.
constexpr Duration kSurvivalTime = Milliseconds(300);

}  // namespace

const PoisonSubject* EntryRelay::FindBlock() const {
  if (m_context.poison.IsIdle()) {
    return nullptr;
  }
  return m_context.poison.FindBlock(
      shared_parts(), [this]() -> const RequestDigest& { return digest(); });
}

bool EntryRelay::CheckAdmission(TimePoint now) {
  const PoisonSubject* block = FindBlock();
  m_trial.reset();
  if (block == nullptr) {
    return true;
  }
  const EntryPoison::Admission admission =
      m_context.poison.CheckAdmission(*block, now);
  if (admission == EntryPoison::Admission::kRefused) {
    m_blocked_by = FormatPoisonSubject(*block);
    return false;
  }
  m_trial = *block;
  return true;
}

void EntryRelay::ReportServed() {
  if (m_context.poison.IsIdle()) {
    return;
  }
  if (m_context.poison.HasSuspectRequests()) {
    m_context.poison.OnServed(digest());
  }
  m_context.poison.OnPartsAnswered(shared_parts(), MonotonicNow());
}

void EntryRelay::ReportSurvival(TimePoint now) {
  const uint64_t revision = m_context.poison.suspects_revision();
  const TimePoint survived = m_attempt_first_event_at + kSurvivalTime;
  if (m_attempt_first_event && survived <= now &&
      m_survival_reported != revision) {
    m_survival_reported = revision;
    m_context.poison.OnPartsAnswered(shared_parts(), survived);
  }
}

void EntryRelay::RefuseIfBlocked() {
  if (m_state.answer_started || m_trial) {
    return;
  }
  const PoisonSubject* block = FindBlock();
  if (block != nullptr) {
    m_blocked_by = FormatPoisonSubject(*block);
    m_end_reason = "blocked as a poison request";
    Feed(NoTarget{ResultCode::kRequestEndsServers});
  }
}

bool EntryRelay::MayHaveEndedServer() const {
  return m_choice && Progress() == AttemptProgress::kBegun;
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
    m_shared_parts =
        m_context.header_codec.ReadSharedParts(m_exchange->Headers());
  }
  return *m_shared_parts;
}

}  // namespace filbertrack
