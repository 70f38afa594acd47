#pragma once

/// Discovery of the other entry hosts through the store: each host writes a
/// record of itself and lists the records of the others. The shared secret with
/// which peers authenticate each other is also kept in the store.

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "filbertrack/base_address.h"
#include "filbertrack/entry_ports.h"
#include "filbertrack/gossip_message.h"

namespace filbertrack {

struct EntryRosterPolicy {
  /// Interval between listings. Peers also introduce themselves with their
  /// gossip requests, so a reachable host depends on the first listings only.
  Duration list_interval = Seconds(20);
  /// Interval until a listing returns no new host after
  /// `initial_list_duration`. Each listing costs one store call per page.
  Duration initial_list_interval = Milliseconds(1500);
  /// Minimum time after the start for which `initial_list_interval` applies.
  /// Listings may be seconds old, so when a whole fleet starts at once the
  /// first ones are empty or incomplete. A host that knows only part of the
  /// fleet would watch the store needlessly, as if it were alone.
  Duration initial_list_duration = Seconds(3);
};

class EntryRoster {
 public:
  struct Events {
    /// Called once, when the shared secret is known.
    std::function<void(const std::string& secret)> on_secret;
    /// Called for every record of each listing, the own one included.
    std::function<void(const FleetHost& host, const std::string& address)>
        on_host;
    /// Called when a listing is complete, before `on_host` for its records.
    std::function<void()> on_listed;
  };

  /// `own` and `address` are published to the other hosts.
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
  /// Writes the record of this host unless `known`, the record in the store, is
  /// the same. A restarted host usually keeps its address and then saves two
  /// writes: a conflicting one and its retry.
  void EnsureRegistered(const StoredObject* known);
  void Register(uint64_t expected_version);
  /// Lists the records again if no other host was found before. Of hosts that
  /// start at once and write their records after all of them have listed, the
  /// last one to write then finds the others, and its gossip requests introduce
  /// it to them.
  void OnRegistered();
  std::string OwnRecord() const;
  void List();
  /// True if the listing holds a host that was not known before.
  bool OnListed(const std::vector<StoredObject>& records);

  EventLoop& m_loop;
  FleetHost m_own;
  Address m_address;
  EntryRosterPolicy m_policy;
  RecordStore& m_records;
  Events m_events;
  TimePoint m_started;
  std::string m_proposed_secret;
  /// The own record is current or a write of it has been started.
  bool m_registration_begun = false;
  /// A listing held a record of another host.
  bool m_found_others = false;
  /// Keys of all records listed so far.
  std::set<std::string, std::less<>> m_known_keys;
  Duration m_start_backoff{0};
  std::unique_ptr<Timer> m_retry_timer;
  std::unique_ptr<Timer> m_list_timer;
};

}  // namespace filbertrack
