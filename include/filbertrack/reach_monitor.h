#pragma once

/// Tells a network partition between this host and the backend servers from
/// failures of single servers. Failures of requests only suggest a partition;
/// connection probes to a sample of all servers decide.

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "filbertrack/base_time.h"

namespace filbertrack {

struct ReachPolicy {
  /// A connection that is not established after this long counts as a failure
  /// of its server.
  Duration slow_connect = Milliseconds(50);
  /// While requests wait, a silence of all servers is suspicious if it exceeds
  /// both this and `silence_gaps` times the usual gap.
  Duration min_silence = Milliseconds(60);
  double silence_gaps = 8;
  /// Weight of the latest gap in the moving average.
  double gap_weight = 0.05;
  /// Requests in flight from which a silence is likely to be a partition: fewer
  /// may all wait in queues.
  size_t min_silent_requests = 3;
  /// Servers with failures within `failure_window` that suggest a partition.
  size_t min_failed_servers = 2;
  Duration failure_window = Milliseconds(200);
  /// Pause after a check before failures of a single server, or of several,
  /// start the next one.
  Duration weak_pause = Milliseconds(500);
  Duration strong_pause = Milliseconds(100);
  /// The same after which silence starts a check, with at least
  /// `min_silent_requests` in flight or with fewer: long queues look alike.
  Duration silence_pause = Milliseconds(500);
  Duration weak_silence_pause = Seconds(2);
  /// Pause between checks while the servers are unreachable.
  Duration recheck_pause = Milliseconds(50);
  /// Servers that a check probes, and the time that each has to accept.
  size_t probes = 6;
  Duration probe_timeout = Milliseconds(100);
  /// A check that ends this much after its time-out decides nothing, since this
  /// process did not run in time.
  Duration max_lateness = Milliseconds(50);
  /// More than this share of failed probes: the servers are unreachable.
  double max_failed = 0.5;
  /// At most this share of failed probes: they are reachable again.
  double max_failed_to_recover = 0.25;
};

/// Results of the probes of one check.
struct ReachCheck {
  size_t probed = 0;
  size_t failed = 0;
  /// Time from the start of the check to its end.
  Duration took{0};
};

class ReachMonitor {
 public:
  explicit ReachMonitor(ReachPolicy policy) : m_policy(policy) {}

  const ReachPolicy& policy() const { return m_policy; }

  /// A server sent bytes.
  void OnBytes(TimePoint now);
  /// A server accepted a connection.
  void OnConnected(TimePoint now) { OnBytes(now); }
  /// A connection to the server was refused, reset or is slow to establish.
  void OnFailure(std::string_view server, TimePoint now);
  /// `requests` are in flight now.
  void SetRequests(size_t requests, TimePoint now);

  bool IsCheckDue(TimePoint now) const;
  void BeginCheck(TimePoint now);
  /// Evaluates a check. Returns whether reachable() changed.
  bool EndCheck(const ReachCheck& check, TimePoint now);

  /// Whether enough backend servers accept connections from this host.
  bool reachable() const { return m_reachable; }
  /// The latest check had no successful probe.
  bool all_failed() const { return m_all_failed; }
  bool is_checking() const { return m_checking; }
  /// Time from which the servers are unreachable: the start of the check that
  /// found it.
  TimePoint unreachable_since() const { return m_unreachable_since; }
  /// Whether open connections have received bytes since then.
  bool open_connections_work() const {
    return m_last_bytes >= m_unreachable_since + m_policy.min_silence / 2;
  }

 private:
  bool IsSilent(TimePoint now) const;

  ReachPolicy m_policy;
  bool m_reachable = true;
  bool m_all_failed = false;
  bool m_checking = false;
  size_t m_requests = 0;
  /// When the number of requests in flight rose from 0.
  TimePoint m_waiting_since;
  TimePoint m_last_bytes;
  /// Usual time between two arrivals of bytes while requests are in flight.
  double m_gap_s = 0.02;
  TimePoint m_check_began;
  TimePoint m_check_ended;
  TimePoint m_unreachable_since;
  /// Latest failure of each server, within `failure_window`.
  std::map<std::string, TimePoint, std::less<>> m_failures;
};

}  // namespace filbertrack
