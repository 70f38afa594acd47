#pragma once

/// What an entry host does about requests under which servers end: lays ends of
/// servers to the requests that they had, exchanges that with the other hosts,
/// and says which requests reach no further server.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/dispatch_selector.h"
#include "filbertrack/entry_server_ends.h"
#include "filbertrack/poison_ledger.h"
#include "filbertrack/server_directory.h"

namespace filbertrack {

class EntryPoison {
 public:
  using Clock = ServerEndCheck::Clock;

  /// `first_revision` as in PoisonLedger.
  EntryPoison(const ServerDirectory& directory,
              EngineClient& engines,
              Clock clock,
              uint64_t first_revision);

  /// An attempt at the target broke off: the target may have ended.
  void OnBroken(const DispatchTarget& target, BrokenAttempt attempt);

  /// The process that had the attempt has ended: a later one is registered.
  void OnRestarted(const DispatchTarget& target, BrokenAttempt attempt);

  /// The target answered an attempt that was sent at `sent`.
  void OnAnswer(const DispatchTarget& target, TimePoint sent);

  /// A request was answered to its end.
  void OnServed(const RequestDigest& digest);

  /// Whether there is nothing known of any request, as most of the time: no
  /// digest need be made then.
  bool IsIdle() const { return m_ledger.IsEmpty(); }
  bool IsBlocked(const RequestDigest& digest) const {
    return m_ledger.IsBlocked(digest);
  }

  enum class Admission {
    kAllowed,
    /// Marked; this copy alone shows whether servers still end under it.
    kTrial,
    kRefused,
  };
  /// Whether a copy of the request may be sent now.
  Admission CheckAdmission(const RequestDigest& digest, TimePoint now) const;
  /// The copy that may be sent for a trial goes out.
  void BeginTrial(const RequestDigest& digest, TimePoint now);

  /// The entry hosts that are heard, with this one: each marked request has one
  /// of them that may let a copy through. Empty: this host may be cut off from
  /// the others, and must not.
  void SetFleet(std::string own, std::vector<std::string> hosts);

  /// Decides on what is known by now. True if requests were marked since the
  /// last call, here or elsewhere: copies that wait must not be sent.
  bool UpdateBlocks(TimePoint now);

  /// What the peer lacks that knows this host's facts up to `known`.
  PoisonUpdate Since(uint64_t known, TimePoint now) const {
    return m_ledger.Since(known, now);
  }
  void OnPeerUpdate(const PoisonUpdate& update,
                    std::string_view peer,
                    TimePoint now);

  /// The marks in force, and what the fleet's record of them says.
  std::vector<Blocked> ActiveBlocks() const { return m_ledger.ActiveBlocks(); }
  void OnRecorded(const Blocked& block, TimePoint now);
  void OnUnblocked(const RequestDigest& digest, TimePoint now);

  /// Whether the hosts of other data centres are heard through few of them.
  void SetRelayed(bool is_far) { m_ledger.SetRelayed(is_far); }

  /// Attempts of this host that ended with their server.
  uint64_t attempts_ended() const { return m_attempts_ended; }
  size_t CountSuspectedEnds() const { return m_ledger.CountEnds(); }

 private:
  void OnEnd(const ServerEnd& end);
  /// The server of the target, as the process that the target stands for.
  std::optional<BackendServer> ServerOf(const DispatchTarget& target) const;
  /// Whether this host is the one that may let a copy through.
  bool IsTrialHost(const RequestDigest& digest) const;
  void LogBlocked(const Blocked& block, std::string_view from);

  const ServerDirectory& m_directory;
  Clock m_clock;
  PoisonLedger m_ledger;
  ServerEndCheck m_ends;
  std::string m_own;
  std::vector<std::string> m_hosts;
  uint64_t m_attempts_ended = 0;
  bool m_has_new_blocks = false;
};

}  // namespace filbertrack
