#pragma once

/// How the entitlements are divided over the entry hosts. The list of hosts and
/// its epoch are one object of the object API; each host's base part is the
/// whole over their number. The sum of the parts in use never passes the whole:
/// a part shrinks at once and grows late, and a host that cannot tell whether
/// the division is still in force stops using its part.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/base_result.h"
#include "filbertrack/base_time.h"

namespace filbertrack {

inline constexpr std::string_view kDivisionKey = "entitlements/division";

struct Division {
  uint64_t epoch = 0;
  std::vector<std::string> nodes;
  /// Of the epoch before; empty for the first.
  std::vector<std::string> previous_nodes;
};

std::string FormatDivision(const Division& division);
Result<Division> ParseDivision(std::string_view text);

struct DivisionPolicy {
  /// A host uses its part for this long after at least half of the hosts last
  /// confirmed the division.
  Duration confirmation_ttl = Seconds(3);
  /// A part that was lent may be used this much longer.
  Duration loan_ttl = Seconds(2);
};

class DivisionTracker {
 public:
  explicit DivisionTracker(std::string self) : m_self(std::move(self)) {}

  /// Takes over a newer division.
  void OnDivision(const Division& division, TimePoint now);

  /// At `at`, by this host's clock, the division was still in force: at least
  /// half of its hosts, this one included, said so, or the store did.
  void OnConfirmed(TimePoint at);

  /// More than half of the hosts of the division before have left it.
  void OnMajorityLeft(const DivisionPolicy& policy, TimePoint now);

  /// This host's part of every entitlement, from 0 to 1.
  double Share(const DivisionPolicy& policy, TimePoint now) const;

  /// Whether no host can use a part of the division before any more. Only then
  /// may the next one be written: a host that missed a division entirely would
  /// otherwise go on with the one before it, which nobody counts any more.
  bool IsSettled(TimePoint now) const {
    return m_division.epoch == 0 || (m_grows_at && now >= *m_grows_at);
  }

  const Division& division() const { return m_division; }

 private:
  double ShareIn(const std::vector<std::string>& nodes) const;

  std::string m_self;
  Division m_division;
  std::optional<TimePoint> m_confirmed_at;
  /// From here the present division's part may be used even if it is larger.
  std::optional<TimePoint> m_grows_at;
};

}  // namespace filbertrack
