#include "filbertrack/entry_targets.h"

#include <algorithm>
#include <span>

#include "filbertrack/replica_plan.h"

namespace filbertrack {

namespace {

/// Whether any member's data centre is evacuated. One member is enough: all of
/// them work on every request to the head of the group.
bool HasEvacuatedMember(std::span<const BackendServer* const> members,
                        const SiteEvacuations& evacuations) {
  return std::any_of(members.begin(), members.end(),
                     [&evacuations](const BackendServer* member) {
                       return evacuations.Contains(member->data_centre);
                     });
}

}  // namespace

std::vector<DispatchTarget> CurrentTargets(const ServerDirectory& directory,
                                           const Catalog& catalog,
                                           const SiteEvacuations& evacuations,
                                           const RegionMap& regions) {
  std::vector<DispatchTarget> targets;
  for (const auto& [name, service] : catalog.services()) {
    if (!service.engine) {
      continue;
    }
    for (const ReplicaView& replica : directory.Replicas(name)) {
      const std::string_view model = ModelOfGroup(replica.group.name);
      const ModelProfile* profile = service.engine->FindModel(model);
      if (profile == nullptr || !IsServing(replica, profile->members)) {
        continue;
      }
      const BackendServer& head = *replica.head();
      targets.push_back({head.id, head.address, name, std::string(model),
                         head.data_centre, service.engine->slots,
                         service.max_connections, head.process_start_ms,
                         HasEvacuatedMember(replica.members, evacuations),
                         RegionOf(regions, head.data_centre)});
    }
  }
  for (const auto& [id, server] : directory.servers()) {
    const ServiceProfile* service = catalog.FindService(server.service);
    if (service != nullptr && !service->engine && !server.draining) {
      targets.push_back({id, server.address, server.service, "",
                         server.data_centre, server.slots,
                         service->max_connections, server.process_start_ms,
                         evacuations.Contains(server.data_centre),
                         RegionOf(regions, server.data_centre)});
    }
  }
  return targets;
}

std::set<std::string_view> StalledHeads(const ServerDirectory& directory,
                                        const Catalog& catalog) {
  std::set<std::string_view> heads;
  for (const auto& [name, service] : catalog.services()) {
    if (!service.engine) {
      continue;
    }
    for (const ReplicaView& replica : directory.Replicas(name)) {
      const BackendServer* head = replica.head();
      const ModelProfile* model =
          service.engine->FindModel(ModelOfGroup(replica.group.name));
      const bool open = head != nullptr && model != nullptr &&
                        head->membership->state == MembershipState::kOpen;
      if (open && !IsIntact(replica, model->members)) {
        heads.insert(head->id);
      }
    }
  }
  return heads;
}

}  // namespace filbertrack
