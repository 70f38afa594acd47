#pragma once

/// Interfaces between an entry host and the platform that it runs on. Routing
/// and control logic is independent of the platform; adapters that implement
/// these interfaces speak its protocols.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/base_time.h"
#include "filbertrack/http_client.h"
#include "filbertrack/http_server.h"
#include "filbertrack/replica_plan.h"
#include "filbertrack/server_directory.h"
#include "filbertrack/site_catalog.h"
#include "filbertrack/site_evacuations.h"
#include "filbertrack/store_client.h"

namespace filbertrack {

/// Fields from the headers of a caller's request.
struct CallFacts {
  /// Request id chosen by the caller; a response must carry the same id.
  std::string request_id;
  /// Time until the caller gives up; nullopt if it is not given.
  std::optional<Duration> time_left;
  /// API key of the caller; empty if it sent none. A secret: never log it.
  std::string key;
  /// Requested model; empty for plain services.
  std::string model;
  double prompt_tokens = 0;
  /// Maximum number of tokens in the answer.
  double answer_tokens = 0;
  /// Id of the last stream event that the caller has received; nullopt if it is
  /// not resuming a stream.
  std::optional<uint64_t> last_event;
  std::string_view hostname;
};

/// Fields that an entry host adds to a request that it forwards.
struct ForwardFacts {
  Duration time_left{0};
  /// Id of the backend server that the request is meant for; a different server
  /// at that address must refuse it.
  std::string server;
  /// Empty on public routes, which require no key.
  std::string workspace;
  int priority = 0;
  /// Id of the last stream event that the caller has received; nullopt if the
  /// stream starts at its beginning.
  std::optional<uint64_t> last_event;
};

/// Fields from the status and headers of a backend server's response.
struct AnswerFacts {
  /// The server guarantees that it did not run the request and never will.
  bool not_run = false;
  /// A different server is listening at the address now.
  bool wrong_server = false;
  /// The response carries the seal of the server that ran the request.
  bool sealed = false;
  /// Id of the request that the response belongs to; empty if not given.
  std::string request_id;
  /// Requests a second that the server accepts from all entry hosts together;
  /// nullopt if it sets no limit.
  std::optional<double> rate_limit;
  /// The server refused the request and asks this entry host to send none for
  /// this long; nullopt if not given.
  std::optional<Duration> backoff;
  /// The server is shutting down.
  bool leaving = false;
  /// Time until the server has warmed up; nullopt if not given.
  std::optional<Duration> cold_left;
};

/// Translates between the headers of the platform's HTTP protocol and the
/// structures above.
class CallHeaderCodec {
 public:
  virtual ~CallHeaderCodec() = default;

  virtual CallFacts ReadCall(const HttpExchange& exchange) const = 0;
  /// Ids of the parts of the request's prompt that other requests may share, in
  /// order and without repetitions: lower-case hexadecimal digits without
  /// leading zeros. The last part of a prompt is its own and not included.
  /// Entries that are malformed, and those beyond a limit, are left out.
  virtual std::vector<std::string> ReadSharedParts(
      const HttpHeaders& headers) const = 0;
  virtual HttpHeaders ForwardHeaders(const HttpExchange& exchange,
                                     const ForwardFacts& facts) const = 0;
  virtual AnswerFacts ReadAnswer(int status,
                                 const HttpHeaders& headers) const = 0;
  /// Headers of a response with which the entry host itself refuses a request.
  virtual HttpHeaders RefusalHeaders(
      std::string_view request_id,
      std::optional<Duration> retry_after) const = 0;
};

enum class OrderResult {
  /// The order was started, or the host is in the requested state already.
  kAccepted,
  /// The order is not valid in the host's current state.
  kRejected,
  /// A different process is listening at the address.
  kWrongServer,
  /// No conclusive reply; the order may still be carried out later.
  kUnknown,
};

/// Result of a health probe sent directly to a host.
struct ProbeAnswer {
  bool answered = false;
  /// A different process is listening at the address.
  bool wrong_server = false;
  int running = 0;
  int queued = 0;
  /// The host is carrying out an order, such as loading weights.
  bool busy = false;
  /// Ratio of actual to profiled processing time; above 1, the host is slower
  /// than its profile.
  double pace = 1;
  /// Start time of the process that answered, Unix ms; 0 if not given.
  uint64_t process_start_ms = 0;
};

/// Client for direct calls to the hosts that form groups.
class EngineClient {
 public:
  virtual ~EngineClient() = default;

  /// Sends the order to one host. A JoinGroup order is sent to the members of
  /// the group one after another, with one call each.
  virtual void Order(const BackendServer& host,
                     const ReplicaOrder& order,
                     std::function<void(OrderResult)> done) = 0;
  virtual void Probe(const BackendServer& host,
                     Duration timeout,
                     std::function<void(const ProbeAnswer&)> done) = 0;
};

/// Access to filbertrack's own records in the platform's store.
class RecordStore {
 public:
  virtual ~RecordStore() = default;

  /// Reads a record without a consistency guarantee; the result may be seconds
  /// old.
  virtual void Read(const std::string& name,
                    std::function<void(StoreResponse)> done) = 0;
  /// Compare-and-set: writes only if the record still has `expected_version`,
  /// where 0 means that it does not exist. Fails with kConflict otherwise.
  virtual void Write(const std::string& name,
                     const std::string& value,
                     uint64_t expected_version,
                     std::function<void(StoreResponse)> done) = 0;
  /// Reads all records whose names begin with `prefix`, with the same weak
  /// consistency as Read().
  virtual void ReadAll(
      const std::string& prefix,
      std::function<void(StoreStatus, std::vector<StoredObject>)> done) = 0;
};

/// Registration of a backend server in the store.
struct Registration {
  BackendServer server;
  /// Version of the registration in the store.
  uint64_t version = 0;
  /// The fields that are used, to be forwarded to other entry hosts.
  std::string text;
};

struct RemovedServer {
  std::string id;
  uint64_t version = 0;
};

/// A registration that cannot be parsed, because it was written by other
/// software or was damaged. The server is not used.
struct UnreadableServer {
  std::string id;
  uint64_t version = 0;
  /// Short text that is forwarded to other entry hosts in place of the
  /// registration, see SiteDecoder::FormatUnreadable().
  std::string text;
  std::string why;
};

/// A batch of changes to the registrations.
struct ServerChanges {
  /// Name of the entry host that sent the changes; empty: read from the store.
  std::string from;
  /// `changed` and `unreadable` are a complete listing; other known servers are
  /// gone.
  bool is_complete = false;
  /// Store revision up to which all changes are known once the batch has been
  /// applied.
  uint64_t revision = 0;
  std::vector<Registration> changed;
  std::vector<UnreadableServer> unreadable;
  std::vector<RemovedServer> removed;
};

/// Receives changes in the platform's store from the adapter.
class SiteListener {
 public:
  virtual ~SiteListener() = default;

  /// A configuration was read; `text` is its stored form.
  virtual void OnCatalog(std::shared_ptr<const Catalog> catalog,
                         std::string text) = 0;
  virtual void OnServers(ServerChanges changes) = 0;
  /// `data_centres` is the complete set of data centres that are evacuated at
  /// this revision of the store.
  virtual void OnEvacuations(SiteEvacuations::DataCentres data_centres,
                             uint64_t revision) = 0;
  /// Calls to the store fail. It has not answered for `unanswered`: 0 if it
  /// refused a call or a connection broke off just now.
  virtual void OnStoreLost(Duration unanswered) = 0;
  virtual void OnStoreReturned() = 0;
  /// The store answered a call that it does not answer from a cache.
  virtual void OnStoreAnswered() = 0;
};

/// Watches on the platform's store that notify a SiteListener.
class SiteFeed {
 public:
  virtual ~SiteFeed() = default;

  /// Reads everything once at start-up. Waiting for gossip from peers instead
  /// delayed readiness by up to a second.
  virtual void ReadOnce() = 0;
  /// Starts or stops watching the store. A host that does not watch receives
  /// changes from other entry hosts.
  virtual void SetWatching(bool watching) = 0;
  /// Selects whether changes are delivered immediately or batched, which takes
  /// fewer calls to the store.
  virtual void SetImmediate(bool is_immediate) = 0;
};

/// Parses stored objects that were forwarded by another entry host.
class SiteDecoder {
 public:
  virtual ~SiteDecoder() = default;

  virtual Result<Catalog> ReadCatalog(std::string_view text) const = 0;
  /// The version of the result is not set.
  virtual Result<Registration> ReadServer(const std::string& id,
                                          std::string_view text) const = 0;
  /// Text that is forwarded for a registration that cannot be parsed. With it,
  /// ReadServer() fails for the same reason.
  virtual std::string FormatUnreadable(std::string_view why) const = 0;
};

}  // namespace filbertrack
