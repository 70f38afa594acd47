#pragma once

/// Tells the termination of a server process from a broken connection. To a
/// request both look the same: its response breaks off. A direct probe right
/// after that is answered if the process is still running. If it has
/// terminated, the connection is refused or a different process answers.

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

/// How far the response to an attempt had come when its connection broke.
enum class AttemptProgress {
  /// No byte of the response: the request may have been queued on the server.
  kNoAnswer,
  /// Only the status and headers: the request had just started to run.
  kBegun,
  /// Part of the body: the request had been running for a while.
  kAnswering,
};

std::string_view AttemptProgressName(AttemptProgress progress);

/// An attempt whose connection to the server broke.
struct BrokenAttempt {
  RequestDigest digest;
  AttemptProgress progress = AttemptProgress::kNoAnswer;
  TimePoint sent;
  /// As CallHeaderCodec::ReadSharedParts().
  std::vector<std::string> parts = {};
};

/// Evidence that a server process has terminated.
enum class EndEvidence {
  /// The server accepted no connection or did not answer the probes.
  kNoAnswer,
  /// A different process answered under the server's name or at its address.
  kOtherProcess,
  /// A newer process is registered under the server's name.
  kReregistered,
};

struct ServerEnd {
  BackendServer server;
  EndEvidence evidence = EndEvidence::kNoAnswer;
  /// Time from the first broken connection to the conclusion.
  Duration age{0};
  std::vector<BrokenAttempt> attempts;
};

std::string_view EndEvidenceName(EndEvidence evidence);

struct ServerEndPolicy {
  /// Timeout of one probe. A server answers a probe within milliseconds
  /// whatever it is running, and a lost packet is retransmitted within 200 ms.
  Duration answer_timeout = Milliseconds(600);
  /// Probes per check. The first one fails if it uses a pooled connection that
  /// broke together with the others; the second one opens a new connection.
  int max_probes = 2;
  /// How long a detected termination applies to further broken attempts without
  /// a new probe. Connections to one server break within milliseconds of each
  /// other; the last is noticed when an idle pooled connection is next used.
  Duration known_end_ttl = Seconds(2);
  /// Maximum number of concurrent checks. A network partition between this host
  /// and a whole data centre breaks the connections to hundreds of servers at
  /// once and says nothing about requests; what exceeds the bound is ignored.
  size_t max_checked = 64;
  /// Maximum number of attempts reported per check: more than a server has
  /// slots.
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

  /// A response from the server broke off. Starts a check, or adds the attempt
  /// to the check that is running.
  void OnBroken(const BackendServer& server, BrokenAttempt attempt);

  /// A newer registration shows that the process which ran the attempt has
  /// terminated. Reports it without a probe.
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
  /// Running checks by server id.
  std::map<std::string, Check, std::less<>> m_checks;
  /// Recently detected terminations by server id; further broken attempts of
  /// the same process need no probe.
  struct KnownEnd {
    uint64_t process_start_ms = 0;
    EndEvidence evidence = EndEvidence::kNoAnswer;
    TimePoint at;
  };
  std::map<std::string, KnownEnd, std::less<>> m_known_ends;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace filbertrack
