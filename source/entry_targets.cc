#include "filbertrack/entry_targets.h"

#include "filbertrack/replica_plan.h"

namespace filbertrack {

std::vector<DispatchTarget> CurrentTargets(const ServerDirectory& directory,
                                           const Catalog& catalog) {
  std::vector<DispatchTarget> targets;
  for (const auto& [name, service] : catalog.services()) {
    if (!service.engine) {
      continue;
    }
    for (const ReplicaView& replica : directory.Replicas(name)) {
      const std::string_view model = ModelOfGroup(replica.group);
      const ModelProfile* profile = service.engine->FindModel(model);
      if (profile == nullptr || !IsServing(replica, profile->members)) {
        continue;
      }
      const BackendServer& head = *replica.head();
      targets.push_back({head.id, head.address, name, std::string(model),
                         head.data_centre, service.engine->slots,
                         service.most_connections});
    }
  }
  for (const auto& [id, server] : directory.servers()) {
    const ServiceProfile* service = catalog.FindService(server.service);
    if (service != nullptr && !service->engine && !server.draining) {
      targets.push_back({id, server.address, server.service, "",
                         server.data_centre, server.slots,
                         service->most_connections});
    }
  }
  return targets;
}

bool StandsStill(const ServerDirectory& directory,
                 const Catalog& catalog,
                 std::string_view head_id) {
  const BackendServer* head = directory.Find(head_id);
  if (head == nullptr || !head->membership ||
      head->membership->state != MembershipState::kOpen) {
    return false;
  }
  const ServiceProfile* service = catalog.FindService(head->service);
  const ModelProfile* model =
      service == nullptr || !service->engine
          ? nullptr
          : service->engine->FindModel(ModelOfGroup(head->membership->group));
  if (model == nullptr) {
    return false;
  }
  for (const ReplicaView& replica : directory.Replicas(head->service)) {
    if (replica.head() == head) {
      return !IsIntact(replica, model->members);
    }
  }
  return false;
}

}  // namespace filbertrack
