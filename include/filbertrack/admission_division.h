#pragma once

/// Divides every entitlement equally over the entry hosts. The list of hosts
/// and its epoch are stored as one object of the object API. The sum of the
/// shares in use never exceeds 1: a host applies a smaller share at once and a
/// larger one only after no host can use the previous division any more, and a
/// host that cannot confirm that the division is in force stops using its
/// share.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/base_result.h"
#include "filbertrack/base_time.h"

namespace filbertrack {

/// Key of the division in the object API.
inline constexpr std::string_view kDivisionKey = "entitlements/division";

struct Division {
  uint64_t epoch = 0;
  std::vector<std::string> nodes;
  /// Hosts of the previous epoch; empty for the first division.
  std::vector<std::string> previous_nodes;
};

std::string FormatDivision(const Division& division);
/// Errors: kResourceInvalid if `text` is not JSON or a field is missing or of
/// another type.
Result<Division> ParseDivision(std::string_view text);

struct DivisionPolicy {
  /// How long a host may use its share after at least half of the hosts last
  /// confirmed the division.
  Duration confirmation_ttl = Seconds(3);
  /// How long a borrower may go on using a loan that a host granted within
  /// confirmation_ttl.
  Duration loan_ttl = Seconds(2);
};

/// Computes the share of the entitlements that one entry host may use.
class DivisionTracker {
 public:
  explicit DivisionTracker(std::string self) : m_self(std::move(self)) {}

  /// Adopts `division` if its epoch is newer than that of the current one.
  void OnDivision(const Division& division, TimePoint now);

  /// The division was in force at `at`, by this host's clock: confirmed by at
  /// least half of its hosts, this one included, or by the store.
  void OnConfirmed(TimePoint at);

  /// More than half of the hosts of the previous division have adopted this one
  /// or a later one. The first call fixes when larger shares take effect.
  void OnMajorityLeft(const DivisionPolicy& policy, TimePoint now);

  /// This host's share of every entitlement, from 0 to 1; 0 if the division was
  /// not confirmed within confirmation_ttl.
  double Share(const DivisionPolicy& policy, TimePoint now) const;

  /// Whether no host can use a share of the previous division any more. The
  /// next division may be written only then: a host that missed a division
  /// entirely would otherwise still use the one before it, which Share() does
  /// not take into account.
  bool IsSettled(TimePoint now) const {
    return m_division.epoch == 0 || (m_grows_at && now >= *m_grows_at);
  }

  const Division& division() const { return m_division; }

 private:
  double ShareIn(const std::vector<std::string>& nodes) const;

  std::string m_self;
  Division m_division;
  std::optional<TimePoint> m_confirmed_at;
  /// When the share of the current division may be used even if it is larger
  /// than the previous one; nullopt: not known yet.
  std::optional<TimePoint> m_grows_at;
};

}  // namespace filbertrack
