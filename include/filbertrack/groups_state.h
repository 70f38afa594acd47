#pragma once

/// State of one fabric domain: who may change it, its groups and the reasons
/// for the latest changes. All of it is one object of the platform's object
/// API, so that one conditional update forms, repairs or dissolves a group
/// whole and of two controllers that race only one wins.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "filbertrack/base_result.h"
#include "filbertrack/settings.h"

namespace filbertrack {

inline constexpr std::string_view kDomainStatePrefix = "groups/domain/";
inline constexpr std::string_view kPlatformHostsPrefix = "platform/hosts/";

enum class GroupPhase {
  /// Members join the epoch and load weights; no requests.
  kLoading,
  kServing,
  /// No new requests; those in flight end.
  kDraining,
  /// A member is lost and no spare is free; no requests.
  kBroken,
};

std::string_view GroupPhaseName(GroupPhase phase);

/// What follows once a draining group has no request in flight.
enum class DrainGoal { kNone, kDissolve, kChangeVersion, kReplaceMember };

/// One replica: a model version on hosts of this domain. Every change of its
/// members or version gets a new epoch; members and routers of an older epoch
/// no longer take part.
struct Group {
  std::string id;
  std::string service;
  std::string serving_group;
  uint64_t epoch = 0;
  GroupPhase phase = GroupPhase::kLoading;
  DrainGoal drain_goal = DrainGoal::kNone;
  std::string model_version;
  std::vector<std::string> adapters;
  /// Host names; the first one takes the group's requests.
  std::vector<std::string> members;

  bool operator==(const Group&) const = default;
};

/// Why the fleet changed a group by itself.
struct DecisionRecord {
  uint64_t number = 0;
  int64_t wall_time_ms = 0;
  std::string controller;
  std::string action;
  std::string group;
  uint64_t epoch = 0;
  std::string evidence;

  bool operator==(const DecisionRecord&) const = default;
};

struct DomainLease {
  std::string holder;
  /// Grows with every new holder; engines that check it refuse older ones.
  uint64_t fence = 0;

  bool operator==(const DomainLease&) const = default;
};

struct DomainState {
  DomainLease lease;
  uint64_t last_epoch = 0;
  int free_hosts = 0;
  std::vector<Group> groups;
  /// Versions that failed here; a rollout does not try them again.
  std::vector<std::string> failed_versions;
  std::vector<DecisionRecord> decisions;  ///< The latest kMostDecisions.

  bool operator==(const DomainState&) const = default;
};

inline constexpr size_t kMaxDecisions = 64;

void AppendDecision(DomainState& state, DecisionRecord record);

/// One row of the platform's list of hosts.
struct PlatformHost {
  std::string name;
  Address address;
  int accelerators = 0;
  bool leaving = false;
};

struct DomainHosts {
  std::string domain;
  std::string data_centre;
  std::vector<PlatformHost> hosts;
};

nlohmann::json ToJson(const DomainState& state);
Result<DomainState> ParseDomainState(std::string_view text);
Result<DomainHosts> ParseDomainHosts(std::string_view domain,
                                     std::string_view text);

const PlatformHost* FindHost(const DomainHosts& hosts, std::string_view name);
const Group* FindGroupOfHost(const DomainState& state, std::string_view host);

}  // namespace filbertrack
