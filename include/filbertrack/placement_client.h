#pragma once

/// An entry host's side of the placement protocol. It decides which messages
/// are sent to the placers and when the host chooses a target itself; it sends
/// nothing. If this host is the placer, the adapter passes the message to its
/// own Placer instead of sending it.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "filbertrack/placement_message.h"

namespace filbertrack {

struct PlacementClientPolicy {
  /// Without a reply in this time the asker decides itself. Ten times the
  /// round trip between data centres; a target of 250 ms leaves some 50 ms.
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
    /// Last known position in the placer's queue; 0: the ask did not wait.
    int position = 0;
    /// For ChooseLocally.
    PlacementFallback cause = PlacementFallback::kNone;
  };

  PlacementClient(std::string name, uint64_t incarnation, Policy policy = {});

  /// Empty `placer`: nobody. Asks that the earlier placer has not answered are
  /// decided locally by the next Expire(), which is due at once.
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

  /// Asks of `placer` are decided locally, since it did not reply or does not
  /// decide.
  bool IsPaused(std::string_view placer) const;
  /// kNone unless paused.
  PlacementFallback PauseCause(std::string_view placer) const;

 private:
  struct Ask {
    std::string placer;
    PlacementAsk ask;
    TimePoint asked;
    /// It was in a message, so the placer may know it.
    bool is_sent = false;
    /// Position in the placer's queue; 0: not queued.
    int position = 0;
  };
  struct Load {
    PoolKey pool;
    PlacementLoad load;
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
  };
  using Links = std::map<std::string, Link, std::less<>>;

  bool IsUsed(std::string_view placer) const;
  bool HasQueued(std::string_view placer) const;
  /// Time at which a message must be sent to the placer; nullopt: none.
  std::optional<TimePoint> SendDue(std::string_view placer,
                                   const Link& link) const;
  PlacementRequest MakeRequest(std::string_view placer,
                               Link& link,
                               TimePoint now);
  void AddEvent(const PoolKey& pool, PlacementEvent event, TimePoint now);
  void AddEvent(Link& link, PlacementEvent event, TimePoint now);
  /// Pauses the link and decides all its asks locally.
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
  /// must drop it.
  bool Apply(std::string_view placer,
             const PlacementAnswer& answer,
             std::vector<Decided>& decided);

  std::string m_name;
  uint64_t m_incarnation;
  Policy m_policy;
  std::map<PoolKey, std::string> m_placers;
  /// Kept while the process runs, so that sequence numbers do not repeat.
  Links m_links;
  /// Asks without a decision.
  std::map<uint64_t, Ask> m_asks;
  /// Requests under way, including grants that were not used yet.
  std::map<uint64_t, Load> m_loads;
  /// Decided by SetPlacer(), to be returned by Expire().
  std::vector<Decided> m_decided;
};

}  // namespace filbertrack
