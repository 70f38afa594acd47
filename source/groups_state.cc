#include "filbertrack/groups_state.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

#include "filbertrack/base_json.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

constexpr auto kPhaseNames = std::to_array<EnumName<GroupPhase>>({
    {GroupPhase::kLoading, "loading"},
    {GroupPhase::kServing, "serving"},
    {GroupPhase::kDraining, "draining"},
    {GroupPhase::kBroken, "broken"},
});

constexpr auto kGoalNames = std::to_array<EnumName<DrainGoal>>({
    {DrainGoal::kNone, "none"},
    {DrainGoal::kDissolve, "dissolve"},
    {DrainGoal::kChangeVersion, "change-version"},
    {DrainGoal::kReplaceMember, "replace-member"},
});

template <typename Enum, size_t N>
std::string_view NameOf(const std::array<EnumName<Enum>, N>& names,
                        Enum value) {
  const auto row = std::find_if(
      names.begin(), names.end(),
      [value](const EnumName<Enum>& entry) { return entry.value == value; });
  return row->name;
}

/// An unknown name maps to the first enumerator; for a phase that is kLoading,
/// which takes no requests.
template <typename Enum, size_t N>
Enum ValueOf(const std::array<EnumName<Enum>, N>& names, const Json& name) {
  const auto row = std::find_if(
      names.begin(), names.end(),
      [&name](const EnumName<Enum>& entry) { return name == entry.name; });
  return row == names.end() ? names[0].value : row->value;
}

Json GroupToJson(const Group& group) {
  return {{"id", group.id},
          {"service", group.service},
          {"serving_group", group.serving_group},
          {"epoch", group.epoch},
          {"phase", NameOf(kPhaseNames, group.phase)},
          {"drain_goal", NameOf(kGoalNames, group.drain_goal)},
          {"model_version", group.model_version},
          {"adapters", group.adapters},
          {"members", group.members}};
}

Group GroupFromJson(const Json& value) {
  Group group;
  group.id = value.at("id");
  group.service = value.at("service");
  group.serving_group = value.at("serving_group");
  group.epoch = value.at("epoch");
  group.phase = ValueOf(kPhaseNames, value.at("phase"));
  group.drain_goal = ValueOf(kGoalNames, value.at("drain_goal"));
  group.model_version = value.at("model_version");
  group.adapters = value.at("adapters").get<std::vector<std::string>>();
  group.members = value.at("members").get<std::vector<std::string>>();
  return group;
}

Json DecisionToJson(const DecisionRecord& record) {
  return {
      {"number", record.number},         {"wall_time_ms", record.wall_time_ms},
      {"controller", record.controller}, {"action", record.action},
      {"group", record.group},           {"epoch", record.epoch},
      {"evidence", record.evidence}};
}

DecisionRecord DecisionFromJson(const Json& value) {
  return {value.at("number"),  value.at("wall_time_ms"), value.at("controller"),
          value.at("action"),  value.at("group"),        value.at("epoch"),
          value.at("evidence")};
}

}  // namespace

std::string_view GroupPhaseName(GroupPhase phase) {
  return NameOf(kPhaseNames, phase);
}

void AppendDecision(DomainState& state, DecisionRecord record) {
  record.number =
      state.decisions.empty() ? 1 : state.decisions.back().number + 1;
  state.decisions.push_back(std::move(record));
  if (state.decisions.size() > kMaxDecisions) {
    state.decisions.erase(state.decisions.begin());
  }
}

Json ToJson(const DomainState& state) {
  Json groups = Json::array();
  for (const Group& group : state.groups) {
    groups.push_back(GroupToJson(group));
  }
  Json decisions = Json::array();
  for (const DecisionRecord& record : state.decisions) {
    decisions.push_back(DecisionToJson(record));
  }
  return {{"holder", state.lease.holder},
          {"fence", state.lease.fence},
          {"last_epoch", state.last_epoch},
          {"free_hosts", state.free_hosts},
          {"groups", groups},
          {"failed_versions", state.failed_versions},
          {"decisions", decisions}};
}

Result<DomainState> ParseDomainState(std::string_view text) {
  const auto fail = [](const std::string& why) {
    return Fail(ResultCode::kResourceInvalid,
                "The state of a fabric domain cannot be read: " + why);
  };
  const Result<Json> value = ParseJson(text);
  if (!value) {
    return fail(value.error().message);
  }
  try {
    DomainState state;
    state.lease = {value->at("holder"), value->at("fence")};
    state.last_epoch = value->at("last_epoch");
    state.free_hosts = value->at("free_hosts");
    for (const Json& group : value->at("groups")) {
      state.groups.push_back(GroupFromJson(group));
    }
    state.failed_versions =
        value->at("failed_versions").get<std::vector<std::string>>();
    for (const Json& record : value->at("decisions")) {
      state.decisions.push_back(DecisionFromJson(record));
    }
    return state;
  } catch (const Json::exception& error) {
    return fail(error.what());
  }
}

Result<DomainHosts> ParseDomainHosts(std::string_view domain,
                                     std::string_view text) {
  const auto fail = [domain](const std::string& why) {
    return Fail(ResultCode::kResourceInvalid,
                "The platform's list of hosts of domain '" +
                    std::string(domain) + "' cannot be read: " + why);
  };
  const Result<Json> value = ParseJson(text);
  if (!value) {
    return fail(value.error().message);
  }
  try {
    DomainHosts list;
    list.domain = domain;
    list.data_centre = value->at("data_centre");
    for (const Json& row : value->at("hosts")) {
      const Result<Address> address =
          ParseServerAddress(row.at("address").get<std::string>());
      if (!address) {
        return tl::unexpected<Error>(address.error());
      }
      list.hosts.push_back({row.at("name"), *address, row.at("accelerators"),
                            row.at("state") == "leaving"});
    }
    return list;
  } catch (const Json::exception& error) {
    return fail(error.what());
  }
}

const PlatformHost* FindHost(const DomainHosts& hosts, std::string_view name) {
  const auto row =
      std::find_if(hosts.hosts.begin(), hosts.hosts.end(),
                   [name](const auto& host) { return host.name == name; });
  return row == hosts.hosts.end() ? nullptr : &*row;
}

const Group* FindGroupOfHost(const DomainState& state, std::string_view host) {
  for (const Group& group : state.groups) {
    if (std::find(group.members.begin(), group.members.end(), host) !=
        group.members.end()) {
      return &group;
    }
  }
  return nullptr;
}

}  // namespace filbertrack
