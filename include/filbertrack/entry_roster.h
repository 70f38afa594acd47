#pragma once

/// How an entry host finds the others: each writes a record of itself to the
/// store and reads those of the rest. The common secret, by which peers know
/// each other, lies there too.

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "filbertrack/base_address.h"
#include "filbertrack/entry_ports.h"
#include "filbertrack/gossip_message.h"

namespace filbertrack {

struct EntryRosterPolicy {
  /// How often the records are read. Peers make themselves known with their
  /// questions, so only the first readings matter to a host that can be
  /// reached.
  Duration list_interval = Seconds(20);
  /// Until a reading brings nothing new, they are read this often: each reading
  /// costs as many calls as there are pages.
  Duration initial_list_interval = Milliseconds(1500);
  /// A reading may be seconds old: of a fleet that starts together the first
  /// ones show nobody, or a part, whoever is there. A host that knows a part of
  /// the others watches the store in vain, as if it were alone.
  Duration initial_list_duration = Seconds(3);
};

class EntryRoster {
 public:
  struct Events {
    std::function<void(const std::string& secret)> on_secret;
    std::function<void(const FleetHost& host, const std::string& address)>
        on_host;
    /// The records were read whole.
    std::function<void()> on_listed;
  };

  /// `own` and `address` are what other hosts are told of this one.
  EntryRoster(EventLoop& loop,
              FleetHost own,
              const Address& address,
              const EntryRosterPolicy& policy,
              RecordStore& records,
              Events events);

  void Start(TimePoint now);

 private:
  void LoadSecret();
  void OnSecret(const StoreResponse& answer);
  /// Writes the record of this host unless `known`, the one in the store, says
  /// the same already. A host that restarts has the address that it had, and
  /// saves a write that conflicts and a second one.
  void EnsureRegistered(const StoredObject* known);
  void Register(uint64_t expected_version);
  std::string OwnRecord() const;
  void List();
  /// True if a host was not known before.
  bool OnListed(const std::vector<StoredObject>& records);

  EventLoop& m_loop;
  FleetHost m_own;
  Address m_address;
  EntryRosterPolicy m_policy;
  RecordStore& m_records;
  Events m_events;
  TimePoint m_started;
  std::string m_proposed_secret;
  /// The own record is written, or is being written, or need not be.
  bool m_registration_begun = false;
  /// Keys of the records that were read so far.
  std::set<std::string, std::less<>> m_known_keys;
  Duration m_start_backoff{0};
  std::unique_ptr<Timer> m_retry_timer;
  std::unique_ptr<Timer> m_list_timer;
};

}  // namespace filbertrack
