#pragma once

/// What entry hosts of a platform tell each other: the newest configuration,
/// registrations that the other lacks, and the work that each has at the
/// targets. At rest a message holds numbers only.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/backpressure_limits.h"
#include "filbertrack/base_result.h"
#include "filbertrack/base_time.h"
#include "filbertrack/change_log.h"
#include "filbertrack/poison_ledger.h"
#include "filbertrack/site_evacuations.h"

namespace filbertrack {

inline constexpr uint64_t kGossipProtocol = 3;

/// Work of the sender at one target.
struct GossipLoad {
  std::string target;
  int requests = 0;
  double prompt_tokens = 0;
};

/// An entry host, as far as the choice of who does what for the others goes.
struct FleetHost {
  std::string name;
  std::string data_centre;
  /// What its link and its processor can carry (CapacityOf()).
  int capacity = 0;
  bool store_fails = false;
};

/// A host that the sender heard of.
struct GossipHost {
  std::string name;
  bool store_fails = false;
  Duration age{0};
  int capacity = 0;
};

/// The work of all hosts of a data centre.
struct DataCentreLoads {
  std::string data_centre;
  Duration age{0};
  std::vector<GossipLoad> loads;
  /// The hosts that `loads` covers.
  std::vector<GossipHost> hosts;
};

/// How far the sender knows the store.
struct GossipState {
  std::string node;
  std::string data_centre;
  /// Where the sender answers questions of peers.
  std::string address;
  bool ready = false;
  int capacity = 0;
  /// The sender tried to watch the store lately and could not.
  bool store_fails = false;
  /// How long ago the store came back after an outage; nullopt: not lately.
  std::optional<Duration> store_back_for;
  uint64_t config_version = 0;
  uint64_t servers_revision = 0;
  /// Work of the sender, or of all hosts of its data centre.
  std::vector<GossipLoad> loads;
  bool covers_data_centre = false;
  /// The hosts beside the sender that `loads` covers.
  std::vector<GossipHost> hosts;
  /// Data centres that are evacuated.
  EvacuationUpdate evacuations;
  /// What the sender heard of other data centres, for hosts of its own; and the
  /// sum of its own one without the receiver's part, where that is wanted.
  std::vector<DataCentreLoads> remote_loads;
};

struct GossipRequest {
  GossipState state;
  /// A newer configuration may be sent. A host asks one peer at a time for it:
  /// large ones from several at once would fill the link of a small host.
  bool wants_config = false;
  /// The same for registrations: eight peers that each sent 760 changed ones
  /// took the link of a host of 20 Mbit/s for a second.
  bool wants_servers = false;
  /// Sums of other data centres are wanted.
  bool wants_remote_loads = false;
  /// The answerer's facts of requests under which servers end are known up to
  /// this revision of its own.
  uint64_t known_poison_revision = 0;
  /// The sum of the answerer's own data centre is wanted, without the asker's
  /// part.
  bool wants_local_loads = false;
  /// The answerer's words of limits that servers name are known up to this
  /// revision of its own.
  uint64_t known_limits_revision = 0;
};

struct GossipReply {
  GossipState state;
  /// The answerer's configuration, compressed, where the asker wants it.
  std::string config;
  /// Registrations that the asker lacks, up to `state.servers_revision`.
  std::vector<LoggedObject> servers;
  /// `servers` is all there are.
  bool servers_complete = false;
  /// What the asker lacks of the answerer's facts. At rest a number only.
  PoisonUpdate poison;
  /// The same of the limits that servers name.
  LimitUpdate limits;
};

std::string EncodeGossipRequest(const GossipRequest& request);
std::string EncodeGossipReply(const GossipReply& reply);

/// Refuse bytes of another protocol version or shape.
Result<GossipRequest> DecodeGossipRequest(std::string_view bytes);
Result<GossipReply> DecodeGossipReply(std::string_view bytes);

/// What a host can carry, to compare hosts of one fleet: its link in Mbit/s
/// times its share of a processor. At least 1.
int CapacityOf(double link_mbps, double processor_share);

/// Whether `left` is of a higher class than `right`: classes are a factor of
/// two in capacity apart, so that hosts of about the same kind share the work.
bool IsStronger(int left, int right);

/// Of hosts of one class, those with the highest weight watch the store.
uint64_t WatchWeight(std::string_view host);

/// The entry hosts that watch the store for all the others, so that each host
/// knows without asking: the strongest, by rendezvous hashing among hosts of
/// one class. One in each data centre, so that changes pass between data
/// centres once and not once for each host, and at least `count`. A change
/// costs as many calls as there are watchers, however many hosts there are.
std::vector<std::string> ChooseWatchers(std::vector<FleetHost> hosts,
                                        size_t count);

/// The `count` hosts, of the given ones of one data centre, that exchange loads
/// with other data centres for the rest.
std::vector<std::string> ChooseRelays(std::vector<FleetHost> hosts,
                                      size_t count);

/// What to answer, given what both sides have. `own_config` is compressed.
GossipReply MakeGossipReply(const GossipState& own,
                            const std::string& own_config,
                            const ChangeLog& servers,
                            const GossipRequest& request);

}  // namespace filbertrack
