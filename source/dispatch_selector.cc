#include "filbertrack/dispatch_selector.h"

#include <algorithm>
#include <cmath>

#include "filbertrack/server_directory.h"

namespace filbertrack {

std::string TargetSelector::GroupKey(std::string_view service,
                                     std::string_view model) {
  std::string key(service);
  key += ' ';
  key += model;
  return key;
}

void TargetSelector::SetTargets(std::vector<DispatchTarget> targets,
                                const Catalog& catalog,
                                TimePoint) {
  m_engines.clear();
  for (const auto& [name, service] : catalog.services()) {
    if (service.engine) {
      m_engines[name] = *service.engine;
    }
  }
  for (auto& [id, entry] : m_entries) {
    entry->in_use = false;
    entry->engine = nullptr;
  }
  m_evacuated_groups.clear();
  for (DispatchTarget& target : targets) {
    if (target.evacuated) {
      m_evacuated_groups.insert(GroupKey(target.service, target.model));
      continue;
    }
    std::unique_ptr<Entry>& entry = m_entries[target.id];
    if (entry == nullptr) {
      entry = std::make_unique<Entry>();
    }
    if (IsNewerInstance(target.process_start_ms,
                        entry->target.process_start_ms)) {
      // The measurements are of an earlier process. Requests of this host are
      // counted until each of them ends.
      entry->slowness = 1;
      entry->failures = 0;
      entry->failed_answers = 0;
      entry->remote = {};
    }
    const auto engine = m_engines.find(target.service);
    entry->engine = engine == m_engines.end() ? nullptr : &engine->second;
    const ModelProfile* model = entry->engine == nullptr
                                    ? nullptr
                                    : entry->engine->FindModel(target.model);
    entry->pace = model == nullptr ? 1 : model->pace;
    entry->in_use = true;
    entry->target = std::move(target);
    entry->activity =
        &m_activity[GroupKey(entry->target.service, entry->target.model)];
  }
  // A target no longer in use is kept while it has requests of this host.
  std::erase_if(m_entries, [](const auto& row) {
    return !row.second->in_use && row.second->own.requests == 0;
  });
  m_groups.clear();
  for (auto& [id, entry] : m_entries) {
    if (entry->in_use) {
      Group& group =
          m_groups[GroupKey(entry->target.service, entry->target.model)];
      group.all.push_back(entry.get());
      group.by_data_centre[entry->target.data_centre].push_back(entry.get());
    }
  }
}

void TargetSelector::SetRemoteLoads(
    const std::map<std::string, TargetLoad, std::less<>>& loads,
    size_t unreported_hosts,
    TimePoint as_of) {
  m_remote_at = as_of;
  for (auto& [id, entry] : m_entries) {
    const auto found = loads.find(id);
    entry->remote = found == loads.end() ? TargetLoad{} : found->second;
  }
  if (unreported_hosts > 0) {
    for (auto& [key, group] : m_groups) {
      AddEstimatedLoads(group.all, unreported_hosts);
    }
  }
}

void TargetSelector::AddEstimatedLoads(Targets& targets,
                                       size_t unreported_hosts) {
  double requests = 0;
  double prompts = 0;
  for (const Entry* entry : targets) {
    requests += entry->own.requests;
    prompts += entry->own.prompt_tokens;
  }
  const double part = static_cast<double>(unreported_hosts) /
                      static_cast<double>(targets.size());
  for (Entry* entry : targets) {
    entry->remote.requests += static_cast<int>(std::lround(requests * part));
    entry->remote.prompt_tokens += prompts * part;
  }
}

TargetSelector::Entry* TargetSelector::Find(std::string_view id) {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : found->second.get();
}

const TargetSelector::Entry* TargetSelector::Find(std::string_view id) const {
  const auto found = m_entries.find(id);
  return found == m_entries.end() ? nullptr : found->second.get();
}

bool TargetSelector::HasTarget(std::string_view id) const {
  const Entry* entry = Find(id);
  return entry != nullptr && entry->in_use;
}

size_t TargetSelector::CountTargets() const {
  return static_cast<size_t>(
      std::count_if(m_entries.begin(), m_entries.end(),
                    [](const auto& row) { return row.second->in_use; }));
}

bool TargetSelector::IsPaused(const Entry& entry, TimePoint now) const {
  if (entry.failures == 0 || !m_policy.pauses_failing) {
    return false;
  }
  const int doublings = std::min(entry.failures - 1, 8);
  const Duration pause = std::min(m_policy.failure_pause * (1 << doublings),
                                  m_policy.max_failure_pause);
  return now < entry.last_failure + pause;
}

bool TargetSelector::IsFailing(const Entry& entry, TimePoint now) const {
  return entry.failed_answers >= m_policy.persistent_failures &&
         IsPaused(entry, now);
}

bool TargetSelector::WasTried(const Entry& entry, const DispatchQuery& query) {
  return query.excluded != nullptr && query.excluded->contains(entry.target.id);
}

bool TargetSelector::IsOutsideRegions(const Entry& entry,
                                      const DispatchQuery& query) {
  const auto binds = [&entry](std::span<const std::string> regions) {
    return !regions.empty() && std::find(regions.begin(), regions.end(),
                                         entry.target.region) == regions.end();
  };
  return binds(query.route_regions) || binds(query.workspace_regions);
}

bool TargetSelector::IsExcluded(const Entry& entry,
                                const DispatchQuery& query) {
  return WasTried(entry, query) || IsOutsideRegions(entry, query) ||
         IsUnreachable(entry, query);
}

bool TargetSelector::IsUnreachable(const Entry& entry,
                                   const DispatchQuery& query) {
  return query.unreachable != nullptr &&
         query.unreachable->contains(entry.target.address);
}

bool TargetSelector::AreAllUnreachable(const DispatchQuery& query) const {
  const auto group = m_groups.find(GroupKey(query.service, query.model));
  if (query.unreachable == nullptr || group == m_groups.end()) {
    return false;
  }
  bool any = false;
  for (const Entry* entry : group->second.all) {
    if (WasTried(*entry, query) || IsOutsideRegions(*entry, query)) {
      continue;
    }
    if (!IsUnreachable(*entry, query)) {
      return false;
    }
    any = true;
  }
  return any;
}

bool TargetSelector::IsHeldBack(const Entry& entry,
                                const DispatchQuery& query,
                                TimePoint now) {
  // A server that names a limit soon has the fewest requests, so every entry
  // host would otherwise choose it.
  return query.backpressure != nullptr &&
         !query.backpressure->MaySend(InstanceOf(entry.target), now);
}

TargetSelector::Targets TargetSelector::DrawCandidates(
    const Targets& targets,
    const DispatchQuery& query,
    size_t limit,
    TimePoint now) {
  Targets usable;
  Targets paused;
  Targets failing;
  // Consecutive targets from a random start give a sample without copying the
  // group.
  const size_t start = m_random() % targets.size();
  for (size_t i = 0; i < targets.size() && usable.size() < limit; ++i) {
    Entry* entry = targets[(start + i) % targets.size()];
    if (IsExcluded(*entry, query) || IsHeldBack(*entry, query, now)) {
      continue;
    }
    if (IsFailing(*entry, now)) {
      failing.push_back(entry);
    } else {
      (IsPaused(*entry, now) ? paused : usable).push_back(entry);
    }
  }
  const double least =
      m_policy.min_in_use * static_cast<double>(targets.size());
  // If most targets fail at once, the cause is unlikely to be the targets.
  if (static_cast<double>(paused.size() + failing.size()) > least ||
      usable.empty()) {
    usable.insert(usable.end(), paused.begin(), paused.end());
  }
  return usable.empty() ? failing : usable;
}

TargetSelector::Best TargetSelector::FindBest(const Targets& targets,
                                              const DispatchQuery& query,
                                              TimePoint now,
                                              Best best) {
  for (const Entry* entry :
       DrawCandidates(targets, query, m_policy.candidates, now)) {
    const Duration predicted = PredictEntry(*entry, query.prompt_tokens);
    if (best.entry == nullptr ||
        std::pair(IsAtLimit(*entry), predicted) <
            std::pair(IsAtLimit(*best.entry), best.time)) {
      best = {entry, predicted};
    }
  }
  return best;
}

TargetSelector::Best TargetSelector::FindRoom(const Targets& targets,
                                              const DispatchQuery& query,
                                              TimePoint now,
                                              Best best) {
  for (const Entry* entry :
       DrawCandidates(targets, query, m_policy.max_candidates, now)) {
    const Duration predicted = PredictEntry(*entry, query.prompt_tokens);
    const double taken = CountRequests(*entry) + 1;
    if (predicted <= query.time_to_slo &&
        taken <= entry->target.slots * m_policy.max_slot_share) {
      return {entry, predicted};
    }
  }
  return best;
}

Duration TargetSelector::RetryAfter(const DispatchQuery& query, TimePoint now) {
  const ModelActivity& activity =
      m_activity[GroupKey(query.service, query.model)];
  const Duration lasted = now - activity.refusing_since;
  const double part = std::uniform_real_distribution<double>(0.5, 1)(m_random);
  return std::clamp(Scale(lasted, part), m_policy.min_retry_after,
                    m_policy.max_retry_after);
}

void TargetSelector::RecordOutcome(const DispatchQuery& query,
                                   bool placed,
                                   TimePoint now) {
  ModelActivity& activity = m_activity[GroupKey(query.service, query.model)];
  const double kept = std::exp(-ToSeconds(now - activity.updated) /
                               ToSeconds(m_policy.activity_decay_time));
  activity.placed = activity.placed * kept + (placed ? 1 : 0);
  activity.refused = activity.refused * kept + (placed ? 0 : 1);
  // Without decay, an estimate at which all targets appear full would refuse
  // every request and never be corrected by a measurement.
  activity.unseen *= kept;
  activity.updated = now;
  if (placed) {
    return;
  }
  if (now - activity.last_refusal > m_policy.activity_decay_time) {
    activity.refusing_since = now;
  }
  activity.last_refusal = now;
}

std::optional<double> TargetSelector::Pressure(std::string_view service,
                                               std::string_view model,
                                               TimePoint now) const {
  const std::string key = GroupKey(service, model);
  const auto group = m_groups.find(key);
  if (group == m_groups.end()) {
    return std::nullopt;
  }
  return PressureOf(key, group->second, now);
}

double TargetSelector::MaxPressure(TimePoint now) const {
  double most = 0;
  for (const auto& [key, group] : m_groups) {
    most = std::max(most, PressureOf(key, group, now));
  }
  return most;
}

double TargetSelector::PressureOf(const std::string& key,
                                  const Group& group,
                                  TimePoint now) const {
  double requests = 0;
  double slots = 0;
  for (const Entry* entry : group.all) {
    requests += entry->own.requests + entry->remote.requests;
    slots += entry->target.slots;
  }
  const auto found = m_activity.find(key);
  double refused_share = 0;
  if (found != m_activity.end() &&
      now - found->second.updated <= m_policy.activity_decay_time) {
    const ModelActivity& activity = found->second;
    refused_share = activity.refused / (activity.placed + activity.refused);
  }
  const double taken = requests / std::max(1.0, slots);
  return std::min(m_policy.max_pressure,
                  taken / std::max(1 - refused_share, 1e-3));
}

Duration TargetSelector::MaxWait(const Entry& entry,
                                 const Group& group,
                                 const DispatchQuery& query,
                                 TimePoint now) const {
  if (IsAtLimit(entry)) {
    return Duration::min();
  }
  if (CountRequests(entry) < 1) {
    return Duration::max();
  }
  if (IsFull(entry) && AreAllSlotsTaken(group.all, query, now)) {
    return std::min(query.time_left,
                    Scale(query.time_to_slo, m_policy.saturated_slo_factor));
  }
  // Slots are free, so the request delays few others. A request whose SLO has
  // expired is still served.
  const Duration longest = query.time_to_slo > Duration(0)
                               ? Scale(query.time_to_slo, m_policy.slo_factor)
                               : query.time_left;
  return std::min(query.time_left, longest);
}

DispatchRefusal TargetSelector::RefuseWithoutTarget(const Group& group,
                                                    const DispatchQuery& query,
                                                    TimePoint now) {
  std::optional<Duration> wait;
  bool any_held_back = false;
  bool any_inside = false;
  for (const Entry* entry : group.all) {
    any_inside = any_inside || !IsOutsideRegions(*entry, query);
    if (IsExcluded(*entry, query) || !IsHeldBack(*entry, query, now)) {
      continue;
    }
    any_held_back = true;
    const auto until =
        query.backpressure->UntilSend(InstanceOf(entry->target), now);
    if (until && (!wait || *until < *wait)) {
      wait = until;
    }
  }
  if (!any_inside) {
    return {DispatchDenial::kNoneInRegions, m_policy.repair_time, {}};
  }
  if (!any_held_back) {
    return {DispatchDenial::kNoneServing, m_policy.repair_time, {}};
  }
  RecordOutcome(query, false, now);
  return {DispatchDenial::kAllHeldBack,
          std::max(RetryAfter(query, now), wait.value_or(Duration(0))),
          {}};
}

DispatchDecision TargetSelector::Choose(const DispatchQuery& query,
                                        TimePoint now) {
  const std::string key = GroupKey(query.service, query.model);
  const auto found = m_groups.find(key);
  if (found == m_groups.end() && m_evacuated_groups.contains(key)) {
    return DispatchRefusal{
        DispatchDenial::kAllEvacuated, m_policy.max_retry_after, {}};
  }
  if (found == m_groups.end()) {
    return DispatchRefusal{
        DispatchDenial::kNoneServing, m_policy.repair_time, {}};
  }
  const Group& group = found->second;
  Best found_best;
  const auto local = group.by_data_centre.find(query.local_data_centre);
  if (local != group.by_data_centre.end()) {
    found_best = FindBest(local->second, query, now, {});
  }
  if (found_best.entry == nullptr || found_best.time > query.time_to_slo) {
    found_best = FindBest(group.all, query, now, found_best);
  }
  if (found_best.entry != nullptr && found_best.time > query.time_to_slo &&
      m_policy.looks_wider) {
    found_best = FindRoom(group.all, query, now, found_best);
  }
  const Entry* best = found_best.entry;
  const Duration best_time = found_best.time;
  if (best == nullptr) {
    return RefuseWithoutTarget(group, query, now);
  }
  if (best_time > MaxWait(*best, group, query, now)) {
    RecordOutcome(query, false, now);
    return DispatchRefusal{DispatchDenial::kAllBusy, RetryAfter(query, now),
                           best_time};
  }
  RecordOutcome(query, true, now);
  return DispatchChoice{best->target, best_time, best->own.requests,
                        best->remote.requests, now - m_remote_at};
}

void TargetSelector::OnSent(std::string_view id, double prompt_tokens) {
  if (Entry* entry = Find(id)) {
    ++entry->own.requests;
    entry->own.prompt_tokens += prompt_tokens;
  }
}

void TargetSelector::OnEnded(std::string_view id,
                             double prompt_tokens,
                             bool prompt_pending,
                             DispatchResult result,
                             TimePoint now) {
  Entry* entry = Find(id);
  if (entry == nullptr) {
    return;
  }
  entry->own.requests = std::max(0, entry->own.requests - 1);
  if (prompt_pending) {
    entry->own.prompt_tokens =
        std::max(0.0, entry->own.prompt_tokens - prompt_tokens);
  }
  if (result == DispatchResult::kAnswered) {
    entry->failures = 0;
  } else if (result != DispatchResult::kAbandoned) {
    ++entry->failures;
    entry->last_failure = now;
  }
  if (result == DispatchResult::kFailed) {
    ++entry->failed_answers;
  } else if (result != DispatchResult::kAbandoned) {
    entry->failed_answers = 0;
  }
}

void TargetSelector::ClearFailures() {
  for (auto& [id, entry] : m_entries) {
    entry->failures = 0;
    entry->failed_answers = 0;
  }
}

std::vector<std::pair<std::string, TargetLoad>> TargetSelector::OwnLoads()
    const {
  std::vector<std::pair<std::string, TargetLoad>> loads;
  for (const auto& [id, entry] : m_entries) {
    if (entry->own.requests > 0) {
      loads.emplace_back(id, entry->own);
    }
  }
  return loads;
}

}  // namespace filbertrack
