#include "filbertrack/exchange.h"

#include <algorithm>

namespace filbertrack {

namespace {

/// Set in the first evidence byte of a group if a member is known to be
/// missing; the other seven bits hold the age in units of kEvidenceAgeUnit.
constexpr uint8_t kMemberMissingBit = 0x80;
constexpr uint8_t kUnknownAge = 0x7f;
constexpr int kMaxLoadByte = 255;
/// Objects are added to a reply until their values reach this size; the
/// requester fetches the others with its next requests.
constexpr size_t kMaxObjectBytes = 1024 * 1024;

std::vector<uint8_t> PackEvidence(const std::vector<GroupEvidence>& rows) {
  std::vector<uint8_t> bytes;
  bytes.reserve(rows.size() * 2);
  for (const GroupEvidence& row : rows) {
    const uint8_t age = PackAge(row.age, kEvidenceAgeUnit, kUnknownAge);
    bytes.push_back(
        static_cast<uint8_t>(age | (row.whole ? 0 : kMemberMissingBit)));
    bytes.push_back(static_cast<uint8_t>(std::min(row.load, kMaxLoadByte)));
  }
  return bytes;
}

void ApplyEvidence(ExchangeState& state,
                   const GroupEvidence& row,
                   TimePoint asked_at,
                   ExchangeEffect& effect) {
  if (state.fleet.OnGroupEvidence(row.group, row.epoch, row.whole,
                                  asked_at - row.age, row.load)) {
    effect.groups.push_back(row.group);
  }
}

void ApplyEvidenceBytes(ExchangeState& state,
                        const std::vector<uint8_t>& bytes,
                        TimePoint asked_at,
                        ExchangeEffect& effect) {
  std::vector<GroupEvidence> rows = state.fleet.Evidence(asked_at);
  // The cache digests were equal when the reply was made. If the local cache
  // has changed since, the rows do not match; the next reply brings evidence
  // again.
  if (bytes.size() != rows.size() * 2) {
    return;
  }
  for (size_t i = 0; i < rows.size(); ++i) {
    const uint8_t age = bytes[2 * i] & kUnknownAge;
    if (age == kUnknownAge) {
      continue;
    }
    rows[i].whole = (bytes[2 * i] & kMemberMissingBit) == 0;
    rows[i].age = kEvidenceAgeUnit * age;
    rows[i].load = bytes[2 * i + 1];
    ApplyEvidence(state, rows[i], asked_at, effect);
  }
}

void ApplyPeerAges(ExchangeState& state,
                   const PeerState& from,
                   const std::vector<uint8_t>& ages,
                   TimePoint asked_at) {
  // Equal table digests imply equal names: the replier's records are the local
  // ones without the replier, plus this host.
  std::vector<std::string> names = {state.table.self().node};
  for (const auto& [name, record] : state.table.records()) {
    if (name != from.node) {
      names.push_back(name);
    }
  }
  std::sort(names.begin(), names.end());
  if (names.size() != ages.size()) {
    return;
  }
  for (size_t i = 0; i < names.size(); ++i) {
    const auto record = state.table.records().find(names[i]);
    if (ages[i] < 255 && record != state.table.records().end()) {
      const PeerState known = record->second.state;
      state.table.Learn(known, asked_at - kPeerAgeUnit * ages[i]);
    }
  }
}

void AddObjects(const ObjectCache& cache,
                const std::vector<std::string>& wanted,
                std::vector<StoredObject>& objects) {
  size_t bytes = 0;
  for (const std::string& key : wanted) {
    const StoredObject* object = cache.Find(key);
    if (object != nullptr && bytes < kMaxObjectBytes) {
      objects.push_back(*object);
      bytes += object->value.size();
    }
  }
}

}  // namespace

ExchangeRequest MakeExchangeRequest(ExchangeState& state,
                                    std::string_view peer,
                                    std::vector<std::string> wanted,
                                    TimePoint now) {
  ExchangeRequest request;
  request.from = state.table.self();
  request.cache_digest = state.cache.Digest();
  request.table_digest = state.table.Digest();
  request.wanted_objects = std::move(wanted);
  for (const EntitlementParts::LoanRequest& loan :
       state.parts.LoanRequests(peer, state.loans, now)) {
    request.loan_requests.push_back(
        {loan.key.first, loan.key.second, loan.requests_per_second});
  }
  return request;
}

ExchangeReply MakeExchangeReply(ExchangeState& state,
                                const ExchangeRequest& request,
                                TimePoint now) {
  // A request may have been delayed, so it proves only that its sender was
  // alive at some time. The sender becomes known but not live.
  state.table.Learn(request.from, TimePoint());
  ExchangeReply reply;
  reply.from = state.table.self();
  reply.cache_digest = state.cache.Digest();
  AddObjects(state.cache, request.wanted_objects, reply.objects);
  if (request.from.node.empty()) {
    // Observers, such as the controller of this host, need only objects.
    if (request.cache_digest != reply.cache_digest) {
      reply.inventory = state.cache.Inventory();
    }
    return reply;
  }
  const std::vector<GroupEvidence> evidence = state.fleet.Evidence(now);
  if (request.cache_digest == reply.cache_digest) {
    reply.evidence_bytes = PackEvidence(evidence);
  } else {
    reply.inventory = state.cache.Inventory();
    reply.evidence = evidence;
  }
  const bool same_table = request.table_digest == state.table.Digest();
  for (const auto& [name, record] : state.table.records()) {
    const Duration age = now - record.alive_at;
    if (same_table) {
      reply.peer_ages.push_back(PackAge(age, kPeerAgeUnit, 255));
    } else {
      reply.peers.push_back({record.state, std::min(age, Seconds(3600))});
    }
  }
  for (const EntitlementLoan& loan : request.loan_requests) {
    const double granted =
        state.parts.Grant(request.from.node, {loan.workspace, loan.service},
                          loan.requests_per_second, state.loans, now);
    if (granted > 0) {
      reply.loans.push_back({loan.workspace, loan.service, granted});
    }
  }
  return reply;
}

ExchangeEffect ApplyExchangeReply(ExchangeState& state,
                                  const ExchangeRequest& request,
                                  const ExchangeReply& reply,
                                  TimePoint asked_at) {
  ExchangeEffect effect;
  const bool same_table = request.table_digest == state.table.Digest();
  state.table.Learn(reply.from, asked_at);
  for (const PeerUpdate& update : reply.peers) {
    state.table.Learn(update.state, asked_at - update.age);
  }
  if (same_table && reply.peers.empty()) {
    ApplyPeerAges(state, reply.from, reply.peer_ages, asked_at);
  }
  for (const StoredObject& object : reply.objects) {
    effect.objects_changed =
        state.cache.Offer(object) || effect.objects_changed;
  }
  effect.wanted = state.cache.Missing(reply.inventory);
  if (reply.inventory.empty() && !effect.objects_changed &&
      reply.cache_digest == state.cache.Digest()) {
    ApplyEvidenceBytes(state, reply.evidence_bytes, asked_at, effect);
  }
  for (const GroupEvidence& row : reply.evidence) {
    ApplyEvidence(state, row, asked_at, effect);
  }
  for (const EntitlementLoan& loan : reply.loans) {
    state.parts.OnGranted(reply.from.node, {loan.workspace, loan.service},
                          loan.requests_per_second, state.loans, asked_at);
  }
  return effect;
}

}  // namespace filbertrack
