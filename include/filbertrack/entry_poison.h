#pragma once

/// Poison requests on an entry host: attributes terminations of servers to the
/// requests that were running on them, exchanges the evidence with other entry
/// hosts, and decides which requests must not be sent to another server.

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
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

  /// The connection of an attempt broke. The target is probed to find out
  /// whether its process has terminated.
  void OnBroken(const DispatchTarget& target, BrokenAttempt attempt);

  /// The process that ran the attempt has terminated, as a newer one is
  /// registered under its name.
  void OnRestarted(const DispatchTarget& target, BrokenAttempt attempt);

  /// The target answered an attempt that was sent at `sent`. If that was at
  /// least one second after its process was reported as terminated, the report
  /// was wrong and is withdrawn; earlier answers may come from a restarted
  /// process that has not registered yet.
  void OnAnswer(const DispatchTarget& target, TimePoint sent);

  /// The request received a complete response, which clears it of suspicion.
  void OnServed(const RequestDigest& digest);

  /// A request with these parts was answered beyond the time in which a faulty
  /// part would have crashed its server, at `at`.
  void OnPartsAnswered(std::span<const PromptPart> parts, TimePoint at);

  /// Changes whenever parts may have become suspect that answers can clear.
  uint64_t suspects_revision() const { return m_ledger.parts_revision(); }

  /// Called when a server ended while it was handling requests of this host.
  void set_on_end(std::function<void()> action) {
    m_on_end = std::move(action);
  }
  /// Called when this host has blocked requests.
  void set_on_block(std::function<void()> action) {
    m_on_block = std::move(action);
  }

  /// All facts that other entry hosts noted before this time are known here.
  void SetCompleteUntil(TimePoint at) { m_ledger.SetCompleteUntil(at); }

  /// Whether no request is suspected or blocked, which is the usual state.
  /// Callers then need not compute a digest.
  bool IsIdle() const { return m_ledger.IsEmpty(); }
  bool IsBlocked(const RequestDigest& digest) const {
    return m_ledger.IsBlocked(digest);
  }
  /// As PoisonLedger::FindBlock() and PoisonLedger::HasSuspectRequests().
  const PoisonSubject* FindBlock(
      std::span<const PromptPart> parts,
      const std::function<const RequestDigest&()>& digest) const {
    return m_ledger.FindBlock(parts, digest);
  }
  bool HasSuspectRequests() const { return m_ledger.HasSuspectRequests(); }

  enum class Admission {
    kAllowed,
    /// Blocked, but this copy may be sent to test whether servers still
    /// terminate when they run it.
    kTrial,
    kRefused,
  };
  /// Whether a request of the subject may be sent now. Does not start the
  /// trial.
  Admission CheckAdmission(const PoisonSubject& subject, TimePoint now) const;
  /// Records that the trial copy is being sent.
  void BeginTrial(const PoisonSubject& subject, TimePoint now);

  /// Whether this host reaches the backend servers. While it does not, a server
  /// that does not answer its probes is no evidence.
  void SetServersReachable(bool reachable, TimePoint now);

  /// Sets the reachable entry hosts, including this one. Rendezvous hashing
  /// selects one of them to send the trial copies of each blocked request.
  /// Empty: this host may be partitioned from the others and sends none.
  void SetFleet(std::string own, std::vector<std::string> hosts);

  /// Evaluates the evidence. True if requests were blocked since the last call,
  /// here or on another entry host; waiting copies must then be refused.
  bool UpdateBlocks(TimePoint now);

  uint64_t revision() const { return m_ledger.revision(); }
  /// Facts newer than revision `known`, for a peer that has all up to it.
  PoisonUpdate Since(uint64_t known, TimePoint now) const {
    return m_ledger.Since(known, now);
  }
  void OnPeerUpdate(const PoisonUpdate& update,
                    std::string_view peer,
                    TimePoint now);

  /// The blocks in force.
  std::vector<Blocked> ActiveBlocks() const { return m_ledger.ActiveBlocks(); }
  /// A block was read from the stored record.
  void OnRecorded(const Blocked& block, TimePoint now);
  /// An operator unblocked the subject in the stored record.
  void OnUnblocked(const PoisonSubject& subject, TimePoint now);

  /// Whether reports of other data centres arrive through relay hosts, which
  /// delays them.
  void SetRelayed(bool is_far) { m_ledger.SetRelayed(is_far); }

  /// Attempts of this host that were running on a server when it terminated.
  uint64_t attempts_ended() const { return m_attempts_ended; }
  size_t CountSuspectedEnds() const { return m_ledger.CountEnds(); }

 private:
  void OnEnd(const ServerEnd& end);
  /// Last known registration of the target, with the address and start time of
  /// the process that the attempt was sent to; nullopt if there is none.
  std::optional<BackendServer> ServerOf(const DispatchTarget& target) const;
  /// Whether this host is the one that may send a trial copy.
  bool IsTrialHost(const PoisonSubject& subject) const;
  void LogBlocked(const Blocked& block, std::string_view from);

  const ServerDirectory& m_directory;
  Clock m_clock;
  PoisonLedger m_ledger;
  ServerEndCheck m_ends;
  std::function<void()> m_on_end;
  std::function<void()> m_on_block;
  std::string m_own;
  std::vector<std::string> m_hosts;
  uint64_t m_attempts_ended = 0;
  bool m_has_new_blocks = false;
  bool m_servers_reachable = true;
  /// When it last changed.
  TimePoint m_reach_changed_at;
};

}  // namespace filbertrack
