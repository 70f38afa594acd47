#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "filbertrack/entry_host.h"
#include "filbertrack/log.h"

/// EntryHost: takes in the configuration, the registered servers, the
/// evacuations and the availability of the store, as learned from the store or
/// from peers.

namespace filbertrack {

void EntryHost::OnCatalog(std::shared_ptr<const Catalog> catalog,
                          std::string text) {
  if (!SupersedesCatalog(m_catalog.get(), *catalog)) {
    return;
  }
  m_catalog = std::move(catalog);
  m_catalog_at = MonotonicNow();
  m_catalog_text = std::move(text);
  m_compressed_catalog.clear();
  const CallerLimits& limits = m_catalog->limits();
  m_caller_server->SetLimits({limits.max_header_bytes, limits.max_body_bytes,
                              limits.header_timeout, limits.idle_timeout,
                              m_settings.Time("callers", "unread_timeout")});
  UpdateForwardLimits();
  std::set<std::string_view> routes;
  for (const Route& route : m_catalog->routes()) {
    routes.insert(route.name);
  }
  m_route_times.Retain(routes);
  Log(LogLevel::kInfo, "config",
      {{"config", m_catalog->version()}, {"routes", m_catalog->route_count()}});
  OnSiteChanged();
}

void EntryHost::OnServers(ServerChanges changes) {
  const TimePoint now = MonotonicNow();
  bool changed = !m_servers_known;
  m_servers_known = true;
  std::set<std::string, std::less<>> present;
  for (Registration& registration : changes.changed) {
    const std::string& id = registration.server.id;
    present.insert(id);
    // The same registration arrives from the store and from peers; only a newer
    // version is applied.
    if (m_server_log.Put({id, registration.version, registration.text})) {
      LogDraining(registration, changes.from);
      changed = ApplyRegistration(registration, now) || changed;
    }
  }
  for (const UnreadableServer& server : changes.unreadable) {
    present.insert(server.id);
    changed = ApplyUnreadable(server, now) || changed;
  }
  if (changes.is_complete) {
    for (const LoggedObject& known : m_server_log.All()) {
      if (!present.contains(known.id) && known.version <= changes.revision) {
        changes.removed.push_back({known.id, changes.revision});
      }
    }
  }
  for (const RemovedServer& removed : changes.removed) {
    if (m_server_log.Put({removed.id, removed.version, ""})) {
      changed = ApplyRemoval(removed, changes.from, now) || changed;
    }
  }
  if (store_away() && changes.revision > m_server_log.revision()) {
    m_outage_detector.OnPeersAhead(now);
  }
  m_server_log.AdvanceTo(changes.revision);
  m_context.servers_revision = m_server_log.revision();
  m_context.servers_at = now;
  m_directory.OnInitialListing(now);
  if (changed) {
    OnSiteChanged();
  }
  ScheduleExpiry();
}

bool EntryHost::ApplyRegistration(Registration& registration, TimePoint now) {
  const BackendServer& server = registration.server;
  const BackendServer* last = m_directory.FindLast(server.id);
  const bool is_new_instance =
      last == nullptr ||
      IsNewerInstance(server.process_start_ms, last->process_start_ms);
  const ServiceProfile* service =
      m_catalog == nullptr ? nullptr : m_catalog->FindService(server.service);
  if (is_new_instance && !server.cold_left && m_traffic_seen &&
      service != nullptr) {
    m_directory.AssumeCold(server.id, now + service->cold_after_start);
  }
  return m_directory.Put(std::move(registration.server), now);
}

bool EntryHost::ApplyRemoval(const RemovedServer& removed,
                             std::string_view from,
                             TimePoint now) {
  const BackendServer* server = m_directory.Find(removed.id);
  if (server == nullptr) {
    return false;
  }
  nlohmann::json fields = {{"server", removed.id},
                           {"version", removed.version},
                           {"from", from},
                           {"draining", server->draining}};
  const bool is_removed = m_directory.Remove(removed.id, now);
  if (const auto until = m_directory.HeldUntil(removed.id)) {
    fields["held_ms"] = ToMilliseconds(*until - now);
  }
  Log(LogLevel::kInfo, "server-removed", fields);
  return is_removed;
}

void EntryHost::LogDraining(const Registration& registration,
                            std::string_view from) const {
  const BackendServer* known = m_directory.Find(registration.server.id);
  if (registration.server.draining && known != nullptr && !known->draining) {
    Log(LogLevel::kInfo, "server-draining",
        {{"server", registration.server.id},
         {"version", registration.version},
         {"from", from}});
  }
}

void EntryHost::OnEvacuations(SiteEvacuations::DataCentres data_centres,
                              uint64_t revision) {
  const SiteEvacuations::DataCentres before = m_evacuations.data_centres();
  if (m_evacuations.OnList(std::move(data_centres), revision)) {
    OnEvacuationsChanged(before);
  }
}

void EntryHost::OnPeerEvacuations(const EvacuationUpdate& update) {
  const SiteEvacuations::DataCentres before = m_evacuations.data_centres();
  if (m_evacuations.OnPeerUpdate(update)) {
    OnEvacuationsChanged(before);
  }
}

void EntryHost::OnEvacuationsChanged(
    const SiteEvacuations::DataCentres& before) {
  const SiteEvacuations::DataCentres& after = m_evacuations.data_centres();
  Log(LogLevel::kInfo, "evacuations",
      {{"data_centres", after}, {"version", m_evacuations.News().revision}});
  const TimePoint now = MonotonicNow();
  for (const std::string& data_centre : before) {
    if (!after.contains(data_centre)) {
      AssumeCold(data_centre, now);
    }
  }
  OnSiteChanged();
}

void EntryHost::AssumeCold(std::string_view data_centre, TimePoint now) {
  for (const auto& [id, server] : m_directory.servers()) {
    const ServiceProfile* service =
        m_catalog == nullptr ? nullptr : m_catalog->FindService(server.service);
    if (server.data_centre == data_centre && service != nullptr &&
        service->cold_after_start > Duration(0)) {
      m_directory.AssumeCold(id, now + service->cold_after_start);
    }
  }
}

void EntryHost::UpdateColdTargets(std::span<const DispatchTarget> targets,
                                  TimePoint now) {
  for (const DispatchTarget& target : targets) {
    const ServiceProfile* service = m_catalog->FindService(target.service);
    const auto until = m_directory.ColdUntil(target.id, now);
    if (until && service->cold_requests_per_second > 0) {
      m_backpressure.OnCold(target, service->cold_requests_per_second, *until,
                            now);
    }
  }
}

bool EntryHost::ApplyUnreadable(const UnreadableServer& server, TimePoint now) {
  if (!m_server_log.Put({server.id, server.version, server.text})) {
    return false;
  }
  ++m_unreadable;
  Log(LogLevel::kWarning, "server-invalid",
      {{"server", server.id},
       {"version", server.version},
       {"why", server.why}});
  return m_directory.Discard(server.id, now);
}

void EntryHost::OnPeerSawStoreReturn(std::string_view peer,
                                     TimePoint returned) {
  if (m_outage_detector.OnPeerSawReturn(returned)) {
    Log(LogLevel::kInfo, "store-return-reported",
        {{"peer", peer},
         {"age_ms", ToMilliseconds(MonotonicNow() - returned)}});
    ApplyStoreReturn();
  }
}

void EntryHost::OnPeerStoreService(const StoreService& service) {
  m_outage_detector.OnPeerService(service);
  ApplyStoreReturn();
}

void EntryHost::OnStoreAnswered() {
  m_outage_detector.OnAnswered(MonotonicNow());
  ApplyStoreReturn();
}

void EntryHost::ApplyStoreReturn() {
  const auto returned = m_outage_detector.returned();
  if (returned == m_directory.store_returned()) {
    return;
  }
  if (returned) {
    m_directory.OnStoreReturned(*returned);
    ScheduleExpiry();
    return;
  }
  Log(LogLevel::kInfo, "store-return-disproved", nlohmann::json::object());
  if (m_directory.OnReturnDisproved(MonotonicNow())) {
    OnSiteChanged();
  }
  ScheduleExpiry();
}

void EntryHost::OnStoreLost(Duration unanswered) {
  m_outage_detector.OnLost(MonotonicNow() - unanswered);
  Log(LogLevel::kWarning, "store-lost",
      {{"unanswered_ms", ToMilliseconds(unanswered)}});
}

void EntryHost::OnStoreReturned() {
  if (!store_away()) {
    return;
  }
  const bool was_outage = m_outage_detector.OnReturned(MonotonicNow());
  ApplyStoreReturn();
  Log(LogLevel::kInfo, "store-returned", {{"for_all", was_outage}});
}

std::vector<Address> EntryHost::ServerAddresses() const {
  std::vector<Address> addresses;
  for (const auto& [id, server] : m_directory.servers()) {
    if (!server.draining) {
      addresses.push_back(server.address);
    }
  }
  return addresses;
}

void EntryHost::ScheduleExpiry() {
  const auto next = m_directory.NextExpiry();
  if (!next) {
    m_expiry_timer.reset();
    return;
  }
  m_expiry_timer =
      m_loop.After(std::max(Duration(0), *next - MonotonicNow()), [this] {
        const size_t before = m_directory.servers().size();
        if (m_directory.Expire(MonotonicNow())) {
          Log(LogLevel::kInfo, "servers-released",
              {{"count", before - m_directory.servers().size()}});
          OnSiteChanged();
        }
        ScheduleExpiry();
      });
}

}  // namespace filbertrack
