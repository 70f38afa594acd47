#include "filbertrack/entry_lease.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "filbertrack/base_hash.h"
#include "filbertrack/base_json.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kLeaseRecord = "groups-lease";
/// Challengers for an expired lease are spread over this time, so that one of
/// them usually wins without a conflict.
constexpr Duration kRankSpread = Milliseconds(400);
constexpr uint64_t kRankSteps = 1000;
/// Timeout after which a store call is repeated. Some calls are never answered,
/// and with a timeout of one second a single one of them would lose the lease.
/// Two attempts fit between the time of a renewal and the expiry.
constexpr Duration kCallTimeout = Milliseconds(400);

/// Name of the entry host in the name of a holder.
std::string_view NodeOf(std::string_view holder) {
  return holder.substr(0, holder.rfind(kHolderSeparator));
}

std::string FormatLease(const DomainLease& lease, uint64_t heartbeat) {
  return Json({{"holder", lease.holder},
               {"fence", lease.fence},
               {"beat", heartbeat}})
      .dump();
}

Result<DomainLease> ParseLease(const std::string& text) {
  const Json json = ParseJson(text).value_or(Json());
  const bool valid = json.is_object() && json.contains("holder") &&
                     json["holder"].is_string() && json.contains("fence") &&
                     json["fence"].is_number_unsigned();
  if (!valid) {
    return Fail(ResultCode::kResourceInvalid,
                "invalid lease record of " + std::to_string(text.size()) +
                    " bytes: it must contain a holder and a fence.");
  }
  return DomainLease{json["holder"].get<std::string>(),
                     json["fence"].get<uint64_t>()};
}

}  // namespace

EntryLease::EntryLease(std::string holder,
                       const LeasePolicy& policy,
                       RecordStore& records,
                       Clock clock,
                       Events events)
    : m_holder(std::move(holder)),
      m_policy(policy),
      m_records(records),
      m_clock(std::move(clock)),
      m_events(std::move(events)) {
  const uint64_t rank = RendezvousWeight("lease", m_holder) % kRankSteps;
  m_rank_delay = kRankSpread * static_cast<int64_t>(rank) /
                 static_cast<int64_t>(kRankSteps);
}

EntryLease::~EntryLease() {
  *m_alive = false;
}

bool EntryLease::IsHeld() const {
  return m_lease.holder == m_holder && m_lease.fence == m_confirmed_fence &&
         m_keeper.IsHeld(m_policy, m_clock());
}

bool EntryLease::HasCallInFlight(TimePoint now) const {
  return m_call_start && now - *m_call_start < kCallTimeout;
}

void EntryLease::Tick(bool may_acquire) {
  const TimePoint now = m_clock();
  const bool is_held = IsHeld();
  if (m_reported_held && !is_held) {
    m_reported_held = false;
    m_events.lost();
  }
  if (HasCallInFlight(now)) {
    return;
  }
  m_may_acquire = may_acquire;
  if (is_held) {
    if (m_keeper.ShouldRenew(m_policy, now)) {
      Write(m_lease);
    }
  } else if ((may_acquire || !m_was_read) &&
             now - m_last_read >= m_policy.renew_every) {
    Read();
  }
}

void EntryLease::Read() {
  m_last_read = m_clock();
  m_call_start = m_last_read;
  m_records.Read(std::string(kLeaseRecord),
                 [this, alive = m_alive](const StoreResponse& answer) {
                   if (*alive) {
                     m_call_start.reset();
                     OnRead(answer);
                   }
                 });
}

void EntryLease::OnRead(const StoreResponse& answer) {
  // A failed read is no evidence: an outage of the store must not make a live
  // holder look dead.
  if (answer.status == StoreStatus::kUnavailable || IsHeld()) {
    return;
  }
  m_was_read = true;
  if (answer.status == StoreStatus::kNotFound) {
    if (!m_may_acquire) {
      return;
    }
    m_version = 0;
    Write({m_holder, m_lease.fence + 1});
    return;
  }
  if (!ApplyRecord(answer.object)) {
    return;
  }
  // If the holder is an earlier process of this entry host, it has ended, so
  // there is no need to wait for the expiry. Waiting left the groups without a
  // lease holder for 2.6 s after a power failure of all hosts. Orders of the
  // earlier process that are still in flight are refused by the new fence.
  const bool is_own_lease = NodeOf(m_lease.holder) == NodeOf(m_holder);
  const bool may_take =
      is_own_lease ||
      (m_may_acquire && MayAcquire(m_lease, m_lease_seen, m_holder_view,
                                   m_policy, m_rank_delay, m_clock()));
  if (may_take) {
    Write({m_holder, m_lease.fence + 1});
  }
}

bool EntryLease::ApplyRecord(const StoredObject& record) {
  const TimePoint now = m_clock();
  const Result<DomainLease> lease = ParseLease(record.value);
  if (!lease) {
    Log(LogLevel::kError, "lease-invalid", {{"why", lease.error().message}});
    return false;
  }
  // A stale read must not replace the newer result of a write.
  if (record.version < m_version) {
    return false;
  }
  if (!(m_lease == *lease)) {
    m_lease_seen = now;
  }
  m_lease = *lease;
  m_version = record.version;
  ObserveHolder(m_holder_view, m_lease.holder, m_version, now);
  return true;
}

void EntryLease::Write(const DomainLease& lease) {
  const TimePoint write_start = m_clock();
  m_call_start = write_start;
  if (!m_unanswered_since) {
    m_unanswered_since = write_start;
  }
  m_records.Write(
      std::string(kLeaseRecord), FormatLease(lease, ++m_heartbeat), m_version,
      [this, lease, write_start, alive = m_alive](const StoreResponse& answer) {
        if (*alive) {
          m_call_start.reset();
          OnWritten(lease, write_start, answer);
        }
      });
}

void EntryLease::OnWritten(const DomainLease& lease,
                           TimePoint write_start,
                           const StoreResponse& answer) {
  if (answer.status == StoreStatus::kOk) {
    if (answer.object.version > m_version) {
      m_version = answer.object.version;
      OnConfirmed(lease, write_start);
    }
    return;
  }
  if (answer.status != StoreStatus::kConflict || !ApplyRecord(answer.object)) {
    return;
  }
  // The conflict may be with an earlier write of this process whose answer was
  // lost. That write took effect after it was started.
  if (m_lease.holder == m_holder && m_unanswered_since) {
    OnConfirmed(m_lease, *m_unanswered_since);
  }
  m_unanswered_since.reset();
}

void EntryLease::OnConfirmed(const DomainLease& lease, TimePoint write_start) {
  const bool lapsed = lease.fence == m_confirmed_fence && !IsHeld();
  m_lease = lease;
  m_unanswered_since.reset();
  if (lapsed) {
    return;
  }
  const bool is_new = lease.fence != m_confirmed_fence;
  m_confirmed_fence = lease.fence;
  m_keeper.OnWritten(write_start, m_policy, m_clock());
  if (!is_new || !IsHeld()) {
    return;
  }
  if (m_reported_held) {
    m_events.lost();
  }
  m_reported_held = true;
  m_events.gained();
}

void EntryLease::Release() {
  if (!IsHeld()) {
    return;
  }
  m_lease.holder.clear();
  m_records.Write(std::string(kLeaseRecord),
                  FormatLease(m_lease, ++m_heartbeat), m_version,
                  [](const StoreResponse&) {});
}

}  // namespace filbertrack
