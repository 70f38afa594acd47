#include "filbertrack/entry_roster.h"

#include <algorithm>
#include <charconv>

#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

constexpr std::string_view kSecretRecord = "peer-secret";
constexpr std::string_view kHostPrefix = "entry-host-";
/// Separates the address, the data centre and the capacity in the record of an
/// entry host.
constexpr char kFieldSeparator = ' ';
/// Exponential backoff for reading the secret, and the fixed delay
/// kMaxStartBackoff for writing the host's record. Short, because a host
/// without the secret has no peers, and if it starts during a store outage it
/// has no configuration either until the outage ends.
constexpr Duration kMinStartBackoff = Milliseconds(60);
constexpr Duration kMaxStartBackoff = Milliseconds(500);

/// Removes the first field and its separator from `rest`, and returns the
/// field.
std::string_view TakeField(std::string_view& rest) {
  const size_t end = std::min(rest.find(kFieldSeparator), rest.size());
  const std::string_view field = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return field;
}

}  // namespace

EntryRoster::EntryRoster(EventLoop& loop,
                         FleetHost own,
                         const Address& address,
                         const EntryRosterPolicy& policy,
                         RecordStore& records,
                         Events events)
    : m_loop(loop),
      m_own(std::move(own)),
      m_address(address),
      m_policy(policy),
      m_records(records),
      m_events(std::move(events)),
      m_proposed_secret(RandomId() + RandomId()) {}

void EntryRoster::Start(TimePoint now) {
  m_started = now;
  LoadSecret();
}

void EntryRoster::LoadSecret() {
  m_records.Read(
      std::string(kSecretRecord), [this](const StoreResponse& answer) {
        if (answer.status == StoreStatus::kNotFound) {
          // The first writer wins; for the others the conflict returns its
          // secret.
          m_records.Write(
              std::string(kSecretRecord), m_proposed_secret, 0,
              [this](const StoreResponse& written) { OnSecret(written); });
          return;
        }
        OnSecret(answer);
      });
}

void EntryRoster::OnSecret(const StoreResponse& answer) {
  if (answer.object.value.empty()) {
    m_start_backoff =
        std::clamp(m_start_backoff * 2, kMinStartBackoff, kMaxStartBackoff);
    m_retry_timer = m_loop.After(m_start_backoff, [this] { LoadSecret(); });
    return;
  }
  m_events.on_secret(answer.object.value);
  List();
}

std::string EntryRoster::OwnRecord() const {
  return m_address.ToString() + kFieldSeparator + m_own.data_centre +
         kFieldSeparator + std::to_string(m_own.capacity);
}

void EntryRoster::EnsureRegistered(const StoredObject* known) {
  if (m_registration_begun) {
    return;
  }
  m_registration_begun = true;
  if (known == nullptr || known->value != OwnRecord()) {
    Register(known == nullptr ? 0 : known->version);
  }
}

void EntryRoster::Register(uint64_t expected_version) {
  m_records.Write(
      std::string(kHostPrefix) + m_own.name, OwnRecord(), expected_version,
      [this](const StoreResponse& answer) {
        if (answer.status == StoreStatus::kOk) {
          OnRegistered();
          return;
        }
        // On a conflict, an earlier process of this host left a record, which
        // is overwritten.
        const uint64_t version =
            answer.status == StoreStatus::kConflict ? answer.object.version : 0;
        m_retry_timer = m_loop.After(kMaxStartBackoff,
                                     [this, version] { Register(version); });
      });
}

void EntryRoster::OnRegistered() {
  if (!m_found_others) {
    List();
  }
}

void EntryRoster::List() {
  m_records.ReadAll(
      std::string(kHostPrefix),
      [this](StoreStatus status, const std::vector<StoredObject>& records) {
        const bool is_unchanged =
            status == StoreStatus::kOk && !OnListed(records);
        const bool settled = is_unchanged && MonotonicNow() - m_started >=
                                                 m_policy.initial_list_duration;
        m_list_timer = m_loop.After(
            settled ? m_policy.list_interval : m_policy.initial_list_interval,
            [this] { List(); });
      });
}

bool EntryRoster::OnListed(const std::vector<StoredObject>& records) {
  m_events.on_listed();
  const std::string own_key = std::string(kHostPrefix) + m_own.name;
  const auto own =
      std::find_if(records.begin(), records.end(),
                   [&own_key](const auto& row) { return row.key == own_key; });
  m_found_others =
      m_found_others || records.size() > (own == records.end() ? 0 : 1);
  EnsureRegistered(own == records.end() ? nullptr : &*own);
  bool has_new = false;
  for (const StoredObject& record : records) {
    has_new = m_known_keys.insert(record.key).second || has_new;
    FleetHost host;
    host.name = record.key.substr(kHostPrefix.size());
    std::string_view rest = record.value;
    const std::string address(TakeField(rest));
    host.data_centre = TakeField(rest);
    std::from_chars(rest.data(), rest.data() + rest.size(), host.capacity);
    m_events.on_host(host, address);
  }
  return has_new;
}

}  // namespace filbertrack
