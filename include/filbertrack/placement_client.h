#pragma once

/// An entry host's side of the placement protocol. It decides which messages
/// are sent to the placers and when the host chooses a target itself; it sends
/// nothing. If this host is the placer, the adapter passes the message to its
/// own Placer instead of sending it.
///
/// The asks of a pool go to the first host of its ranking that replies. See
/// docs/design/placer-failover.md.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "filbertrack/placement_message.h"

namespace filbertrack {

struct PlacementClientPolicy {
  /// Without a reply in this time the next host of the ranking is asked. Ten
  /// times the round trip between data centres; a target of 250 ms leaves some
  /// 50 ms.
  Duration answer_timeout = Milliseconds(30);
  /// After a failure the placer is asked again after `first_pause`, doubling
  /// to `longest_pause`.
  Duration first_pause = Milliseconds(250);
  Duration longest_pause = Seconds(2);
  /// Events wait this long for an ask that takes them along, which halves the
  /// number of messages.
  Duration event_delay = Milliseconds(10);
  /// Interval at which the placer of a queued ask is checked.
  Duration queue_check = Milliseconds(50);
};

/// Why an entry host chooses a target itself.
enum class PlacementFallback {
  kNone,
  /// The placer did not reply in time.
  kNoReply,
  /// The placer replied that it does not decide.
  kDeclined,
  /// The placer no longer knows the ask, for instance since it restarted.
  kForgotten,
  /// Another host became the placer.
  kPlacerChanged,
};

class PlacementClient {
 public:
  using Policy = PlacementClientPolicy;
  struct Decided {
    uint64_t id = 0;
    std::variant<PlacementGrant, PlacementRefusal, ChooseLocally> decision;
    /// Host that was asked last.
    std::string placer;
    /// Last known position in the placer's queue; 0: the ask did not wait.
    int position = 0;
    /// For ChooseLocally.
    PlacementFallback cause = PlacementFallback::kNone;
  };

  PlacementClient(std::string name, uint64_t incarnation, Policy policy = {});

  /// Hosts that are asked in turn; empty: nobody. If the placer changes to one
  /// that was not ranked before, asks that the earlier one has not answered are
  /// decided locally by the next Expire(), which is due at once.
  void SetRanking(const PoolKey& pool,
                  std::vector<std::string> ranking,
                  TimePoint now);
  /// A ranking of one host. Empty `placer`: nobody.
  void SetPlacer(const PoolKey& pool, std::string placer, TimePoint now);
  /// Returns false if the request must be placed locally, at once.
  bool TryAsk(PlacementAsk ask, TimePoint now);
  /// Of an ask without a decision, or of a grant that is not used.
  void Withdraw(uint64_t id, TimePoint now);
  /// Every request of a pool is reported, whether it was granted or not. After
  /// a grant that is used PlacementSent is not needed.
  void OnEvent(const PoolKey& pool, PlacementEvent event, TimePoint now);

  /// Messages to send now, one a placer at most while one is in flight.
  std::vector<std::pair<std::string, PlacementRequest>> TakeMessages(
      TimePoint now);
  /// Null: no reply.
  std::vector<Decided> OnReply(const std::string& placer,
                               const PlacementReply* reply,
                               TimePoint now);
  std::vector<Decided> OnNotice(const PlacementNotice& notice,
                                PlacementNoticeReply& reply,
                                TimePoint now);
  /// Decides the asks that were not answered in time.
  std::vector<Decided> Expire(TimePoint now);
  /// Time at which Expire() or TakeMessages() must be called next.
  std::optional<TimePoint> NextDue() const;

  /// Sends a message to `host`, to learn whether it replies.
  void Check(const std::string& host);
  /// Hosts that did not reply or do not place.
  std::set<std::string, std::less<>> Unresponsive() const;
  /// Hosts that have not replied to a message for at least `time`.
  std::set<std::string, std::less<>> SilentFor(Duration time,
                                               TimePoint now) const;
  /// The host that the pool's asks go to; empty: nobody.
  std::string PlacerOf(const PoolKey& pool) const;

  /// Asks do not go to `placer`, since it did not reply or does not decide.
  bool IsPaused(std::string_view placer) const;
  /// kNone unless paused.
  PlacementFallback PauseCause(std::string_view placer) const;

 private:
  struct Ask {
    std::string placer;
    PlacementAsk ask;
    TimePoint arrived;
    /// When it was given to `placer`.
    TimePoint asked;
    /// It was in a message, so the placer may know it.
    bool is_sent = false;
    /// Position in the placer's queue; 0: not queued.
    int position = 0;
  };
  struct Load {
    PoolKey pool;
    PlacementLoad load;
    TimePoint since;
  };
  struct Pool {
    std::vector<std::string> ranking;
    /// The first host of the ranking that is not paused; empty: none.
    std::string placer;
    /// `placer` has not been told yet that it is asked for this pool.
    bool is_moved = false;
    std::optional<PlacementEstimate> estimate;
  };
  struct InFlight {
    uint64_t sequence = 0;
    TimePoint sent;
  };
  /// State of the exchange with one placer.
  struct Link {
    uint64_t sequence = 0;
    bool needs_sync = true;
    std::optional<InFlight> in_flight;
    /// Ids of asks for the next message.
    std::vector<uint64_t> asks;
    std::vector<PlacementEvent> events;
    TimePoint events_due;
    /// When the placer of queued asks is checked.
    TimePoint check_due;
    /// Length of the pause; 0: not paused.
    Duration pause{0};
    TimePoint paused_until;
    PlacementFallback cause = PlacementFallback::kNone;
    /// Another placer took over, so that this one is not tried again while
    /// another one is asked.
    bool is_replaced = false;
    /// A message is to be sent, see Check().
    bool is_checked = false;
  };
  using Links = std::map<std::string, Link, std::less<>>;

  /// The asks of a pool go to `placer`.
  bool IsUsed(std::string_view placer) const;
  /// Whether the host ranks before the one that a pool's asks go to.
  bool RanksBeforePlacer(std::string_view host) const;
  bool HasQueued(std::string_view placer) const;
  /// Ends pauses of hosts that rank after the pool's placer and are therefore
  /// not retried.
  void EndOldPauses(const Pool& pool, TimePoint now);
  /// Sets the pool's placer to the first host of its ranking that is not
  /// paused. Its asks move there, or are decided locally if there is none.
  void UpdatePlacer(const PoolKey& key,
                    Pool& pool,
                    bool moves_asks,
                    PlacementFallback cause,
                    TimePoint now,
                    std::vector<Decided>& decided);
  void UpdatePlacers(PlacementFallback cause,
                     TimePoint now,
                     std::vector<Decided>& decided);
  /// Ends the pause of a link.
  static void Resume(Link& link);
  void AddMoved(std::string_view placer, PlacementRequest& request);
  /// Time at which a message must be sent to the placer; nullopt: none.
  std::optional<TimePoint> SendDue(std::string_view placer,
                                   const Link& link) const;
  PlacementRequest MakeRequest(std::string_view placer,
                               Link& link,
                               TimePoint now);
  void AddEvent(const PoolKey& pool, PlacementEvent event, TimePoint now);
  void AddEvent(Link& link, PlacementEvent event, TimePoint now);
  /// Pauses the link. Its asks go to the next host of their ranking.
  void Pause(std::string_view placer,
             Link& link,
             PlacementFallback cause,
             TimePoint now,
             std::vector<Decided>& decided);
  /// Decides an ask locally.
  void Release(const Ask& ask,
               PlacementFallback cause,
               std::vector<Decided>& decided) const;
  /// Decides the asks that were sent to the placer and that its reply does not
  /// mention: it does not know them.
  void ReleaseForgotten(const std::string& placer,
                        const PlacementReply& reply,
                        std::vector<Decided>& decided);
  /// Applies an answer; returns false if the ask is unknown, so that the placer
  /// must drop it. With `may_move`, an ask that the placer hands back stays
  /// pending if another host can be asked.
  bool Apply(std::string_view placer,
             const PlacementAnswer& answer,
             bool may_move,
             TimePoint now,
             std::vector<Decided>& decided);
  /// Whether the ask can go to another host.
  bool HasNext(const Ask& ask) const;
  /// Whether the asks of the pool go to `placer`, or would if it replied and
  /// now go to nobody.
  static bool IsAskedOrAlone(std::string_view placer, const Pool& pool);
  bool IsAskedOrAlone(std::string_view placer) const;
  /// Whether `first` ranks before `second` for any pool.
  bool RanksBefore(std::string_view first, std::string_view second) const;

  std::string m_name;
  uint64_t m_incarnation;
  Policy m_policy;
  std::map<PoolKey, Pool> m_pools;
  /// Kept while the process runs, so that sequence numbers do not repeat.
  Links m_links;
  /// Asks without a decision.
  std::map<uint64_t, Ask> m_asks;
  /// Requests under way, including grants that were not used yet.
  std::map<uint64_t, Load> m_loads;
  /// Decided by SetRanking(), to be returned by Expire().
  std::vector<Decided> m_decided;
};

}  // namespace filbertrack
