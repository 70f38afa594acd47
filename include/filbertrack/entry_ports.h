#pragma once

/// What an entry host needs of the platform that it runs on. The product
/// decides; an adapter behind these interfaces speaks the platform's protocol.

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

/// What the headers of a caller's request say.
struct CallFacts {
  /// The caller's name for this request; an answer must carry it too.
  std::string request_id;
  /// How long the caller waits; nullopt: it does not say.
  std::optional<Duration> time_left;
  /// The caller's secret; empty: none. Never log it.
  std::string key;
  /// Model that is to answer; empty for plain services.
  std::string model;
  double prompt_tokens = 0;
  /// The most tokens that the answer may have.
  double answer_tokens = 0;
  /// The caller has the events up to this one.
  std::optional<uint64_t> last_event;
  std::string_view hostname;
};

/// What an entry host adds to a request that it passes on.
struct ForwardFacts {
  Duration time_left{0};
  /// The only backend server that may run it.
  std::string server;
  /// Empty: the request needs no key.
  std::string workspace;
  int priority = 0;
  /// The caller has the events up to this one.
  std::optional<uint64_t> last_event;
};

/// What the head of a backend server's answer says.
struct AnswerFacts {
  /// The server did not run the request and never will.
  bool not_run = false;
  /// Another server has the address now.
  bool wrong_server = false;
  /// The answer bears the mark of the server that ran the request.
  bool sealed = false;
  /// Names the request it belongs to; empty: it does not say.
  std::string request_id;
  /// Requests a second that the server takes from all entry hosts together;
  /// nullopt: it names no limit.
  std::optional<double> rate_limit;
  /// The server turned the request away and wants nothing from this entry host
  /// for so long; nullopt: it does not say.
  std::optional<Duration> backoff;
  /// The server leaves and will be gone soon.
  bool leaving = false;
  /// The server is cold for so long; nullopt: it does not say.
  std::optional<Duration> cold_left;
};

/// Reads and writes the headers of requests and answers.
class CallHeaderCodec {
 public:
  virtual ~CallHeaderCodec() = default;

  virtual CallFacts ReadCall(const HttpExchange& exchange) const = 0;
  virtual HttpHeaders ForwardHeaders(const HttpExchange& exchange,
                                     const ForwardFacts& facts) const = 0;
  virtual AnswerFacts ReadAnswer(int status,
                                 const HttpHeaders& headers) const = 0;
  /// Headers of a refusal of our own.
  virtual HttpHeaders RefusalHeaders(
      std::string_view request_id,
      std::optional<Duration> retry_after) const = 0;
};

enum class OrderResult {
  /// Begun, or the state holds already.
  kAccepted,
  /// It does not fit the host's state.
  kRejected,
  /// Another process answers at the address.
  kWrongServer,
  /// Nobody knows; it may be carried out later.
  kUnknown,
};

/// What a host says when it is asked directly.
struct ProbeAnswer {
  bool answered = false;
  /// Another process answers at the address.
  bool wrong_server = false;
  int running = 0;
  int queued = 0;
  /// An order is being carried out, such as a load of weights.
  bool busy = false;
  /// Over 1: the host is slower than its profile.
  double pace = 1;
  /// Start of the process that answers, Unix ms; 0: it does not say.
  uint64_t process_start_ms = 0;
};

/// Direct calls to the hosts that groups are made of.
class EngineClient {
 public:
  virtual ~EngineClient() = default;

  /// Sends the order to one host; a JoinGroup goes to each member in turn.
  virtual void Order(const BackendServer& host,
                     const ReplicaOrder& order,
                     std::function<void(OrderResult)> done) = 0;
  virtual void Probe(const BackendServer& host,
                     Duration timeout,
                     std::function<void(const ProbeAnswer&)> done) = 0;
};

/// Records of the product's own in the platform's store.
class RecordStore {
 public:
  virtual ~RecordStore() = default;

  /// A cheap read; what it returns may be seconds old.
  virtual void Read(const std::string& name,
                    std::function<void(StoreAnswer)> done) = 0;
  /// Writes if the record still has `expected_version`; 0: it does not exist.
  virtual void Write(const std::string& name,
                     const std::string& value,
                     uint64_t expected_version,
                     std::function<void(StoreAnswer)> done) = 0;
  /// All records whose names begin with `prefix`; a cheap read like Read().
  virtual void ReadAll(
      const std::string& prefix,
      std::function<void(StoreStatus, std::vector<StoredObject>)> done) = 0;
};

/// One registration as the store has it.
struct Registration {
  BackendServer server;
  /// The store's version of it.
  uint64_t version = 0;
  /// As it stands in the store, for other entry hosts.
  std::string text;
};

struct RemovedServer {
  std::string id;
  uint64_t version = 0;
};

/// A registration that another writer left, or that a fault damaged: it names
/// no server to use.
struct UnreadableServer {
  std::string id;
  uint64_t version = 0;
  /// As it stands in the store, for other entry hosts.
  std::string text;
  std::string why;
};

/// What became known of the registrations at once.
struct ServerChanges {
  /// `changed` is all there are.
  bool is_complete = false;
  /// Everything up to this revision of the store is known with these.
  uint64_t revision = 0;
  std::vector<Registration> changed;
  std::vector<UnreadableServer> unreadable;
  std::vector<RemovedServer> removed;
};

/// What the adapter tells of the platform's store.
class SiteListener {
 public:
  virtual ~SiteListener() = default;

  /// `text` is the configuration as it stands in the store.
  virtual void OnCatalog(std::shared_ptr<const Catalog> catalog,
                         std::string text) = 0;
  virtual void OnServers(ServerChanges changes) = 0;
  /// All data centres that are evacuated at this revision of the store.
  virtual void OnEvacuations(SiteEvacuations::DataCentres data_centres,
                             uint64_t revision) = 0;
  virtual void OnStoreLost() = 0;
  virtual void OnStoreReturned() = 0;
};

/// The watches that feed a SiteListener.
class SiteFeed {
 public:
  virtual ~SiteFeed() = default;

  /// Reads all once, at a start. A host that waited for its peers to tell it
  /// took callers up to a second later.
  virtual void ReadOnce() = 0;
  /// Watches the store, or leaves that to other entry hosts.
  virtual void SetWatching(bool watching) = 0;
  /// Changes are told at once, or gathered for a while, which takes fewer
  /// calls.
  virtual void SetImmediate(bool is_immediate) = 0;
};

/// Reads texts of the store that came by way of another entry host.
class SiteDecoder {
 public:
  virtual ~SiteDecoder() = default;

  virtual Result<Catalog> ReadCatalog(std::string_view text) const = 0;
  virtual Result<BackendServer> ReadServer(const std::string& id,
                                           std::string_view text) const = 0;
};

}  // namespace filbertrack
