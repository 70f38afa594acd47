#pragma once

/// Tells a server that ended from a connection that broke. Both look alike to a
/// request: its answer breaks off. A server that is asked directly just after
/// that answers if it lives; one that ended takes no connection, or another
/// process answers under its name.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/base_time.h"
#include "filbertrack/entry_ports.h"
#include "filbertrack/poison_digest.h"
#include "filbertrack/server_directory.h"

namespace filbertrack {

/// How far a server had come with a request when its connection broke.
enum class AttemptProgress {
  /// No byte of the answer: it may have waited in the server's queue.
  kNoAnswer,
  /// The head of the answer and nothing behind it: it had just begun to run.
  kBegun,
  /// Parts of the answer had come: it had run for a while.
  kAnswering,
};

std::string_view AttemptProgressName(AttemptProgress progress);

/// A request whose connection to a server broke.
struct BrokenAttempt {
  RequestDigest digest;
  AttemptProgress progress = AttemptProgress::kNoAnswer;
  TimePoint sent;
};

/// What showed that a server ended.
enum class EndEvidence {
  /// It took no connection, or did not answer on it.
  kNoAnswer,
  /// Another process answered under its name or at its address.
  kOtherProcess,
  /// It was registered by a later process under the same name.
  kReregistered,
};

struct ServerEnd {
  BackendServer server;
  EndEvidence evidence = EndEvidence::kNoAnswer;
  /// From the first connection that broke until it was certain.
  Duration age{0};
  std::vector<BrokenAttempt> attempts;
};

std::string_view EndEvidenceName(EndEvidence evidence);

struct ServerEndPolicy {
  /// A server answers a direct question within milliseconds, whatever it runs;
  /// a lost packet is sent again within a fifth of a second.
  Duration answer_timeout = Milliseconds(600);
  /// A kept connection that broke with the others fails the first question; the
  /// second one opens its own.
  int max_probes = 2;
  /// Connections to one server break within milliseconds of each other, and
  /// the last of them is noticed at the latest when a kept one is tried.
  Duration known_end_ttl = Seconds(2);
  /// Servers that are looked into at one time; a cut between this host and a
  /// whole data centre breaks hundreds at once and says nothing of requests.
  size_t max_checked = 64;
  /// Attempts told of one server: more than it has slots.
  size_t max_attempts = 32;
};

class ServerEndCheck {
 public:
  using Clock = std::function<TimePoint()>;
  using OnEnd = std::function<void(const ServerEnd& end)>;

  ServerEndCheck(EngineClient& engines,
                 ServerEndPolicy policy,
                 Clock clock,
                 OnEnd on_end)
      : m_engines(engines),
        m_policy(policy),
        m_clock(std::move(clock)),
        m_on_end(std::move(on_end)) {}
  ~ServerEndCheck();

  /// An answer broke off at the server; it is asked whether it lives.
  void OnBroken(const BackendServer& server, BrokenAttempt attempt);

  /// The registration shows that the process which had the attempt has ended.
  void OnReregistered(const BackendServer& server, BrokenAttempt attempt);

 private:
  struct Check {
    BackendServer server;
    std::vector<BrokenAttempt> attempts;
    TimePoint since;
    int probes_sent = 0;
  };

  void SendProbe(const std::string& id);
  void OnProbeAnswer(const std::string& id, const ProbeAnswer& answer);

  EngineClient& m_engines;
  ServerEndPolicy m_policy;
  Clock m_clock;
  OnEnd m_on_end;
  /// By id, while its answer is awaited.
  std::map<std::string, Check, std::less<>> m_checks;
  /// Ends found lately, by id: further attempts of theirs need no question.
  struct KnownEnd {
    uint64_t process_start_ms = 0;
    EndEvidence evidence = EndEvidence::kNoAnswer;
    TimePoint at;
  };
  std::map<std::string, KnownEnd, std::less<>> m_known_ends;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack
