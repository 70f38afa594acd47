#include "filbertrack/entry_poison.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

/// A restarted process registers under its name within this time. Until then
/// its answers must not be taken for answers of the process that terminated.
constexpr Duration kReregistrationTime = Seconds(1);

EndProgress ProgressAtEnd(const BackendServer& server,
                          AttemptProgress progress) {
  // A plain server sends its response only when it is complete, so no response
  // means that the request was running.
  const bool is_plain = server.domain.empty();
  switch (progress) {
    case AttemptProgress::kNoAnswer:
      return is_plain ? EndProgress::kBegun : EndProgress::kNoAnswer;
    case AttemptProgress::kBegun:
      return EndProgress::kBegun;
    case AttemptProgress::kAnswering:
      return EndProgress::kAnswering;
  }
  return EndProgress::kNoAnswer;
}

}  // namespace

EntryPoison::EntryPoison(const ServerDirectory& directory,
                         EngineClient& engines,
                         Clock clock,
                         uint64_t first_revision)
    : m_directory(directory),
      m_clock(clock),
      m_ledger({}, first_revision),
      m_ends(engines, {}, std::move(clock), [this](const ServerEnd& end) {
        OnEnd(end);
      }) {}

std::optional<BackendServer> EntryPoison::ServerOf(
    const DispatchTarget& target) const {
  const BackendServer* server = m_directory.FindLast(target.id);
  if (server == nullptr) {
    return std::nullopt;
  }
  BackendServer process = *server;
  process.address = target.address;
  process.process_start_ms = target.process_start_ms;
  return process;
}

void EntryPoison::OnBroken(const DispatchTarget& target,
                           BrokenAttempt attempt) {
  const auto server = ServerOf(target);
  // A draining server terminates regardless of the requests that it runs.
  if (server && !server->draining) {
    m_ends.OnBroken(*server, std::move(attempt));
  }
}

void EntryPoison::OnRestarted(const DispatchTarget& target,
                              BrokenAttempt attempt) {
  const auto server = ServerOf(target);
  if (server && !server->draining) {
    m_ends.OnReregistered(*server, std::move(attempt));
  }
}

void EntryPoison::SetServersReachable(bool reachable, TimePoint now) {
  m_servers_reachable = reachable;
  m_reach_changed_at = now;
}

void EntryPoison::OnEnd(const ServerEnd& end) {
  // The check may have begun while the servers were unreachable.
  const bool was_cut_off =
      !m_servers_reachable || m_clock() - m_reach_changed_at <= end.age;
  if (end.evidence == EndEvidence::kNoAnswer && was_cut_off &&
      m_reach_changed_at != TimePoint()) {
    return;
  }
  m_attempts_ended += end.attempts.size();
  const TimePoint now = m_clock();
  const ServerInstance instance{end.server.id, end.server.process_start_ms};
  const auto ended = m_ledger.EndedAt(instance);
  nlohmann::json requests = nlohmann::json::array();
  for (const BrokenAttempt& attempt : end.attempts) {
    // Attempts sent after the server terminated are no evidence: hosts that had
    // not yet heard of it still send requests there.
    if (!ended || attempt.sent <= *ended) {
      const EndProgress progress = ProgressAtEnd(end.server, attempt.progress);
      // A request that is being answered has passed the point at which a faulty
      // part crashes its server.
      m_ledger.Note(EndedDuringRequest{instance, attempt.digest, progress,
                                       progress == EndProgress::kAnswering
                                           ? std::vector<PromptPart>()
                                           : attempt.parts},
                    now);
    }
    requests.push_back({{"digest", attempt.digest},
                        {"progress", AttemptProgressName(attempt.progress)},
                        {"parts", attempt.parts},
                        {"ends", m_ledger.CountEndsOf(attempt.digest)}});
  }
  Log(LogLevel::kWarning, "server-ended",
      {{"server", end.server.id},
       {"born_ms", end.server.process_start_ms},
       {"evidence", EndEvidenceName(end.evidence)},
       {"age_ms", ToMilliseconds(end.age)},
       {"requests", std::move(requests)}});
  if (m_on_end) {
    m_on_end();
  }
}

void EntryPoison::OnAnswer(const DispatchTarget& target, TimePoint sent) {
  if (IsIdle()) {
    return;
  }
  const ServerInstance instance{target.id, target.process_start_ms};
  const auto ended = m_ledger.EndedAt(instance);
  if (!ended || sent < *ended + kReregistrationTime) {
    return;
  }
  Log(LogLevel::kInfo, "server-lives",
      {{"server", instance.id}, {"born_ms", instance.process_start_ms}});
  m_ledger.Note(FoundAlive{instance}, m_clock());
}

void EntryPoison::OnServed(const RequestDigest& digest) {
  if (!m_ledger.IsSuspect(digest)) {
    return;
  }
  if (m_ledger.IsBlocked(digest)) {
    Log(LogLevel::kInfo, "request-unmarked",
        {{"digest", digest}, {"why", "a copy of the request was answered"}});
  }
  m_ledger.Note(Cleared{digest}, m_clock());
}

void EntryPoison::OnPartsAnswered(std::span<const PromptPart> parts,
                                  TimePoint at) {
  for (const PromptPart& part : parts) {
    if (m_ledger.IsSuspectPart(part)) {
      m_ledger.Note(PartCleared{part}, at);
    }
  }
}

void EntryPoison::SetFleet(std::string own, std::vector<std::string> hosts) {
  m_own = std::move(own);
  m_hosts = std::move(hosts);
}

bool EntryPoison::IsTrialHost(const PoisonSubject& subject) const {
  const std::string key = FormatPoisonSubject(subject);
  const auto trial_host = std::max_element(
      m_hosts.begin(), m_hosts.end(),
      [&key](const std::string& left, const std::string& right) {
        return RendezvousWeight(key, left) < RendezvousWeight(key, right);
      });
  return trial_host != m_hosts.end() && *trial_host == m_own;
}

EntryPoison::Admission EntryPoison::CheckAdmission(const PoisonSubject& subject,
                                                   TimePoint now) const {
  if (!m_ledger.IsBlocked(subject)) {
    return Admission::kAllowed;
  }
  return m_ledger.MayStartTrial(subject, now) && IsTrialHost(subject)
             ? Admission::kTrial
             : Admission::kRefused;
}

void EntryPoison::BeginTrial(const PoisonSubject& subject, TimePoint now) {
  Log(LogLevel::kInfo, "request-tried",
      {{"digest", FormatPoisonSubject(subject)}});
  m_ledger.BeginTrial(subject, now);
}

bool EntryPoison::UpdateBlocks(TimePoint now) {
  const std::vector<Blocked> blocked = m_ledger.UpdateBlocks(now);
  for (const Blocked& block : blocked) {
    LogBlocked(block, "own");
  }
  if (!blocked.empty() && m_on_block) {
    m_on_block();
  }
  return std::exchange(m_has_new_blocks, false);
}

void EntryPoison::LogBlocked(const Blocked& block, std::string_view from) {
  m_has_new_blocks = true;
  const PoisonSubject subject = block.subject();
  Log(LogLevel::kWarning, "request-marked",
      {{"digest", FormatPoisonSubject(subject)},
       {"ends", block.ends},
       {"servers", subject.is_whole_request()
                       ? m_ledger.EndsAttributedTo(block.digest, m_clock())
                       : m_ledger.ServersOf(subject)},
       {"from", from}});
}

void EntryPoison::OnPeerUpdate(const PoisonUpdate& update,
                               std::string_view peer,
                               TimePoint now) {
  for (const TimedPoisonFact& row : update.facts) {
    const bool is_new = m_ledger.Note(row.fact, now - row.age);
    const auto* block = std::get_if<Blocked>(&row.fact);
    if (is_new && block != nullptr) {
      LogBlocked(*block, peer);
    }
  }
}

void EntryPoison::OnRecorded(const Blocked& block, TimePoint now) {
  if (!m_ledger.IsBlocked(block.subject()) && m_ledger.Note(block, now)) {
    LogBlocked(block, "record");
  }
}

void EntryPoison::OnUnblocked(const PoisonSubject& subject, TimePoint now) {
  Log(LogLevel::kInfo, "request-unmarked",
      {{"digest", FormatPoisonSubject(subject)},
       {"why", "unblocked by an operator"}});
  if (subject.is_whole_request()) {
    m_ledger.Note(Cleared{subject.digest}, now);
  }
  for (const PromptPart& part : subject.parts) {
    m_ledger.Note(PartCleared{part}, now);
  }
}

}  // namespace filbertrack
