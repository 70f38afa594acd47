#pragma once

/// Gossip messages between the entry hosts of a platform. They carry the newest
/// configuration, the registrations of backend servers that the receiver lacks,
/// and the loads of each host at the targets. While no configuration and no
/// registration changes, only their versions are sent.

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

/// Load of the sender at one target.
struct GossipLoad {
  std::string target;
  int requests = 0;
  double prompt_tokens = 0;
};

/// Properties of an entry host that decide whether it watches the store or
/// relays loads for the others.
struct FleetHost {
  std::string name;
  std::string data_centre;
  /// Capacity of its link and processor, see CapacityOf().
  int capacity = 0;
  bool store_fails = false;
};

/// Another entry host as the sender knows it.
struct GossipHost {
  std::string name;
  bool store_fails = false;
  Duration age{0};
  int capacity = 0;
};

/// Sum of the loads of the hosts of a data centre.
struct DataCentreLoads {
  std::string data_centre;
  Duration age{0};
  std::vector<GossipLoad> loads;
  /// The hosts that `loads` includes.
  std::vector<GossipHost> hosts;
};

/// State of the sender: its versions of the data of the store, its access to
/// the store and its loads.
struct GossipState {
  std::string node;
  std::string data_centre;
  /// Address at which the sender accepts gossip requests.
  std::string address;
  bool ready = false;
  int capacity = 0;
  /// The sender recently tried to watch the store and failed.
  bool store_fails = false;
  /// Time since the store became available again after an outage; nullopt if
  /// there was no recent outage.
  std::optional<Duration> store_back_for;
  /// Ages of the begin and the end of the latest period in which the store
  /// answered the sender or a host that it heard of; nullopt if it knows none.
  struct ServiceAges {
    Duration since{0};
    Duration until{0};
  };
  std::optional<ServiceAges> store_service;
  uint64_t config_version = 0;
  uint64_t servers_revision = 0;
  /// Loads of the sender or, with `covers_data_centre`, the sum of its data
  /// centre.
  std::vector<GossipLoad> loads;
  bool covers_data_centre = false;
  /// The hosts other than the sender that `loads` includes.
  std::vector<GossipHost> hosts;
  /// Evacuated data centres; omitted from the message if the revision is 0.
  EvacuationUpdate evacuations;
  /// Sums of other data centres, for a receiver in the sender's data centre.
  /// With GossipRequest::wants_local_loads also the sum of the sender's own
  /// data centre without the receiver's loads.
  std::vector<DataCentreLoads> remote_loads;
};

/// How a host takes requests that other entry hosts forward to it.
struct ForwardOffer {
  /// At the host of GossipState::address.
  uint16_t port = 0;
  /// Identifies the process.
  std::string token;
  /// Whether it accepts forwarded requests now.
  bool accepts = false;
};

struct GossipRequest {
  GossipState state;
  /// The reply may include a newer configuration. A host sets this for one peer
  /// at a time, because large configurations from several peers at once would
  /// saturate the link of a small host.
  bool wants_config = false;
  /// The same for registrations. Eight peers that each sent 760 changed
  /// registrations saturated a link of 20 Mbit/s for a second.
  bool wants_servers = false;
  /// Requests the sums of other data centres.
  bool wants_remote_loads = false;
  /// Revision of the replier up to which the requester has its facts about
  /// poison requests, that is, requests during which backend servers end.
  uint64_t known_poison_revision = 0;
  /// Requests the sum of the replier's data centre without the requester's
  /// loads.
  bool wants_local_loads = false;
  /// Revision of the replier up to which the requester has its records of the
  /// rate limits of backend servers.
  uint64_t known_limits_revision = 0;
  /// Asks for the replier's ForwardOffer, which is not sent otherwise.
  bool wants_forward_offer = false;
  /// Revision of the requester's facts about poison requests; 0 if it has none.
  /// The replier asks for those that it lacks.
  uint64_t own_poison_revision = 0;
};

struct GossipReply {
  GossipState state;
  /// Compressed configuration of the replier; empty unless it was requested and
  /// is newer than that of the requester.
  std::string config;
  /// Registrations that the requester lacks, up to `state.servers_revision`.
  std::vector<LoggedObject> servers;
  /// `servers` holds all existing registrations, not only changes.
  bool servers_complete = false;
  /// Facts about poison requests that the requester lacks; only a revision if
  /// there are none.
  PoisonUpdate poison;
  /// Rate limits of backend servers that the requester lacks.
  LimitUpdate limits;
  /// nullopt if it was not asked for, or the replier is of an earlier version.
  std::optional<ForwardOffer> forward_offer;
};

std::string EncodeGossipRequest(const GossipRequest& request);
std::string EncodeGossipReply(const GossipReply& reply);

/// Fail with kBadRequest if the bytes are not CBOR, have another protocol
/// version, message kind or structure, or hold a number that is out of range.
Result<GossipRequest> DecodeGossipRequest(std::string_view bytes);
Result<GossipReply> DecodeGossipReply(std::string_view bytes);

/// Asks an entry host to probe backend servers, by id, and its answer: those
/// that answered. Hosts of earlier versions do not answer it.
std::string EncodeProbeRequest(const std::vector<std::string>& servers);
std::string EncodeProbeReply(const std::vector<std::string>& servers);
/// Fail with kBadRequest as above.
Result<std::vector<std::string>> DecodeProbeRequest(std::string_view bytes);
Result<std::vector<std::string>> DecodeProbeReply(std::string_view bytes);

/// Returns the capacity of a host, which compares the hosts of a fleet: the
/// bandwidth of its link in Mbit/s times its share of a processor, at least 1.
int CapacityOf(double link_mbps, double processor_share);

/// Returns whether the capacity `left` is in a higher class than `right`.
/// Classes are powers of two, so that hosts of similar capacity share the work.
bool IsStronger(int left, int right);

/// Returns the rendezvous weight of a host as a watcher of the store. Among
/// hosts of one capacity class, those with the highest weights are chosen.
uint64_t WatchWeight(std::string_view host);

/// Returns the entry hosts that watch the store on behalf of all others. Hosts
/// that know the same `hosts` choose the same watchers without coordination:
/// the highest capacity class first, by rendezvous hashing within a class. One
/// watcher is chosen in each data centre, so that a change is sent between data
/// centres once instead of once for each host, and at least `count` in all if
/// there are as many hosts. A change costs as many calls of the store as there
/// are watchers, however many hosts there are.
std::vector<std::string> ChooseWatchers(std::vector<FleetHost> hosts,
                                        size_t count);

/// Returns up to `count` of the given hosts of one data centre that exchange
/// loads with other data centres on behalf of the rest.
std::vector<std::string> ChooseRelays(std::vector<FleetHost> hosts,
                                      size_t count);

/// Creates the reply to `request`: `own` and, if requested, the configuration
/// and the registrations that are newer than those of the requester.
/// `own_config` is compressed.
GossipReply MakeGossipReply(const GossipState& own,
                            const std::string& own_config,
                            const ChangeLog& servers,
                            const GossipRequest& request);

}  // namespace filbertrack
