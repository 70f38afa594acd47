#pragma once

/// State of one fabric domain: its lease, its groups and the reasons for the
/// latest changes. It is stored as one object of the platform's object API, so
/// that a single conditional update forms, repairs or dissolves a group
/// atomically, and only one of two racing controllers succeeds.

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
  /// Members join the epoch and load weights; takes no requests.
  kLoading,
  kServing,
  /// Takes no new requests; those in flight run to completion.
  kDraining,
  /// A member is lost and no spare is free; takes no requests.
  kBroken,
};

std::string_view GroupPhaseName(GroupPhase phase);

/// Next step once a draining group has no requests in flight.
enum class DrainGoal { kNone, kDissolve, kChangeVersion, kReplaceMember };

/// One replica: a model version on hosts of the domain. Every change of its
/// members or version starts a new epoch; members with another epoch do not
/// count, and requests routed with another epoch are refused.
struct Group {
  std::string id;
  std::string service;
  std::string serving_group;
  uint64_t epoch = 0;
  GroupPhase phase = GroupPhase::kLoading;
  DrainGoal drain_goal = DrainGoal::kNone;
  std::string model_version;
  std::vector<std::string> adapters;
  /// Host names; the first member receives the group's requests.
  std::vector<std::string> members;

  bool operator==(const Group&) const = default;
};

/// An automatic change of a group, and the evidence that led to it.
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
  /// Fencing number, increased with every new holder; engines that check it
  /// refuse lower ones.
  uint64_t fence = 0;

  bool operator==(const DomainLease&) const = default;
};

struct DomainState {
  DomainLease lease;
  uint64_t last_epoch = 0;
  int free_hosts = 0;
  std::vector<Group> groups;
  /// Model versions that failed to load in this domain; rollouts skip them.
  std::vector<std::string> failed_versions;
  std::vector<DecisionRecord> decisions;  ///< The latest kMaxDecisions.

  bool operator==(const DomainState&) const = default;
};

inline constexpr size_t kMaxDecisions = 64;

void AppendDecision(DomainState& state, DecisionRecord record);

/// One entry of the platform's host list.
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
/// Fails with kResourceInvalid if the text cannot be parsed.
Result<DomainState> ParseDomainState(std::string_view text);
/// Fails with kResourceInvalid, or with the error of ParseAddress, if the text
/// cannot be parsed.
Result<DomainHosts> ParseDomainHosts(std::string_view domain,
                                     std::string_view text);

/// Null if the host is not on the list.
const PlatformHost* FindHost(const DomainHosts& hosts, std::string_view name);
/// Null if the host is in no group.
const Group* FindGroupOfHost(const DomainState& state, std::string_view host);

}  // namespace filbertrack
