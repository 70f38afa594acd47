#include "filbertrack/admission_division.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/base_json.h"

namespace filbertrack {

std::string FormatDivision(const Division& division) {
  return nlohmann::json({{"epoch", division.epoch},
                         {"nodes", division.nodes},
                         {"previous_nodes", division.previous_nodes}})
      .dump();
}

Result<Division> ParseDivision(std::string_view text) {
  const auto value = ParseJson(text);
  if (!value) {
    return Fail(ResultCode::kResourceInvalid,
                "invalid entitlement division: " + value.error().message);
  }
  try {
    Division division;
    division.epoch = value->at("epoch");
    division.nodes = value->at("nodes").get<std::vector<std::string>>();
    division.previous_nodes =
        value->at("previous_nodes").get<std::vector<std::string>>();
    return division;
  } catch (const nlohmann::json::exception& error) {
    return Fail(ResultCode::kResourceInvalid,
                std::string("invalid entitlement division: ") + error.what());
  }
}

void DivisionTracker::OnDivision(const Division& division, TimePoint now) {
  if (division.epoch <= m_division.epoch) {
    return;
  }
  m_division = division;
  m_grows_at.reset();
  if (division.previous_nodes.empty()) {
    m_grows_at = now;
  }
}

void DivisionTracker::OnConfirmed(TimePoint at) {
  m_confirmed_at = std::max(m_confirmed_at.value_or(at), at);
}

void DivisionTracker::OnMajorityLeft(const DivisionPolicy& policy,
                                     TimePoint now) {
  // Confirming a share takes at least half of the hosts, and enlarging one
  // requires more than half to have left the previous division. In a partition
  // into two halves, both can therefore keep the old shares and neither can
  // start to use new ones. From now on no host can confirm an old share: the
  // last confirmations expire after confirmation_ttl, and loans granted under
  // them after a further loan_ttl.
  if (!m_grows_at) {
    m_grows_at = now + policy.confirmation_ttl + policy.loan_ttl;
  }
}

double DivisionTracker::Share(const DivisionPolicy& policy,
                              TimePoint now) const {
  if (!m_confirmed_at || now - *m_confirmed_at > policy.confirmation_ttl) {
    return 0;
  }
  if (m_grows_at && now >= *m_grows_at) {
    return ShareIn(m_division.nodes);
  }
  // The previous division was settled when this one was written, so this host
  // may use its share of it even if it never received that division.
  return std::min(ShareIn(m_division.previous_nodes),
                  ShareIn(m_division.nodes));
}

double DivisionTracker::ShareIn(const std::vector<std::string>& nodes) const {
  const bool listed =
      std::find(nodes.begin(), nodes.end(), m_self) != nodes.end();
  return listed ? 1.0 / static_cast<double>(nodes.size()) : 0;
}

}  // namespace filbertrack
