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

class PlacementClient {
 public:
  using Policy = PlacementClientPolicy;
  struct Decided {
    uint64_t id = 0;
    std::variant<PlacementGrant, PlacementRefusal, ChooseLocally> decision;
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

  /// The placer does not answer or does not place, so asks are decided locally.
  bool IsPaused(std::string_view placer) const;

 private:
  std::string m_name;
  uint64_t m_incarnation;
  Policy m_policy;
};

}  // namespace filbertrack
