#include "filbertrack/entry_roster.h"

#include <algorithm>
#include <charconv>

#include "filbertrack/base_hash.h"
#include "filbertrack/log.h"

namespace filbertrack {

namespace {

constexpr std::string_view kSecretRecord = "peer-secret";
constexpr std::string_view kHostPrefix = "entry-host-";
/// Between the address, the data centre and the capacity in the record of an
/// entry host.
constexpr char kFieldSeparator = ' ';
/// Between tries to read or write the records that a start needs: the first
/// pause, doubled up to the longest. Without peers a host that starts while the
/// store is away knows nothing until it is back.
constexpr Duration kFirstStartRetry = Milliseconds(60);
constexpr Duration kStartRetry = Milliseconds(500);

/// Takes the text up to the next separator off `rest`.
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
  m_records.Read(std::string(kSecretRecord), [this](const StoreAnswer& answer) {
    if (answer.status == StoreStatus::kNotFound) {
      // The first writer wins; the others are told what it wrote.
      m_records.Write(
          std::string(kSecretRecord), m_proposed_secret, 0,
          [this](const StoreAnswer& written) { OnSecret(written); });
      return;
    }
    OnSecret(answer);
  });
}

void EntryRoster::OnSecret(const StoreAnswer& answer) {
  if (answer.object.value.empty()) {
    m_start_pause =
        std::clamp(m_start_pause * 2, kFirstStartRetry, kStartRetry);
    m_retry_timer = m_loop.After(m_start_pause, [this] { LoadSecret(); });
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
  if (m_registers) {
    return;
  }
  m_registers = true;
  if (known == nullptr || known->value != OwnRecord()) {
    Register(known == nullptr ? 0 : known->version);
  }
}

void EntryRoster::Register(uint64_t expected_version) {
  m_records.Write(
      std::string(kHostPrefix) + m_own.name, OwnRecord(), expected_version,
      [this](const StoreAnswer& answer) {
        if (answer.status == StoreStatus::kOk) {
          return;
        }
        // An earlier process of this name left a record; this one's address
        // replaces it.
        const uint64_t version =
            answer.status == StoreStatus::kConflict ? answer.object.version : 0;
        m_retry_timer =
            m_loop.After(kStartRetry, [this, version] { Register(version); });
      });
}

void EntryRoster::List() {
  m_records.ReadAll(
      std::string(kHostPrefix),
      [this](StoreStatus status, const std::vector<StoredObject>& records) {
        const bool complete = status == StoreStatus::kOk && !OnListed(records);
        const bool settled =
            complete && MonotonicNow() - m_started >= m_policy.settle;
        m_list_timer = m_loop.After(
            settled ? m_policy.list_interval : m_policy.first_list_interval,
            [this] { List(); });
      });
}

bool EntryRoster::OnListed(const std::vector<StoredObject>& records) {
  m_events.on_listed();
  const std::string own_key = std::string(kHostPrefix) + m_own.name;
  const auto own =
      std::find_if(records.begin(), records.end(),
                   [&own_key](const auto& row) { return row.key == own_key; });
  EnsureRegistered(own == records.end() ? nullptr : &*own);
  bool any_new = false;
  for (const StoredObject& record : records) {
    any_new = m_known.insert(record.key).second || any_new;
    FleetHost host;
    host.name = record.key.substr(kHostPrefix.size());
    std::string_view rest = record.value;
    const std::string address(TakeField(rest));
    host.data_centre = TakeField(rest);
    std::from_chars(rest.data(), rest.data() + rest.size(), host.capacity);
    m_events.on_host(host, address);
  }
  return any_new;
}

}  // namespace filbertrack
