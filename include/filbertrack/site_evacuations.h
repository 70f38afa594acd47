#pragma once

/// Which data centres the operator has evacuated: nothing more is to be sent to
/// their backend servers. Knowledge comes from the store and from other entry
/// hosts; what was true at the later revision of the store counts.

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace filbertrack {

/// What one entry host tells another.
struct EvacuationUpdate {
  /// Revision of the store at which it was so; 0: nothing to tell.
  uint64_t revision = 0;
  std::set<std::string, std::less<>> data_centres;

  bool operator==(const EvacuationUpdate&) const = default;
};

class SiteEvacuations {
 public:
  using DataCentres = std::set<std::string, std::less<>>;

  /// All that the store had at `revision`. True if it differs from what held.
  bool OnList(DataCentres data_centres, uint64_t revision);

  /// What another host told. True if it differs from what held.
  bool OnPeerUpdate(const EvacuationUpdate& update);

  bool Contains(std::string_view data_centre) const {
    return m_data_centres.contains(data_centre);
  }
  const DataCentres& data_centres() const { return m_data_centres; }

  /// For other hosts: empty until something was evacuated.
  EvacuationUpdate News() const {
    return {m_published_revision, UpdatedDataCentres()};
  }

 private:
  bool Apply(DataCentres data_centres, uint64_t revision);
  DataCentres UpdatedDataCentres() const {
    return m_published_revision == 0 ? DataCentres{} : m_data_centres;
  }

  DataCentres m_data_centres;
  /// The latest revision at which they are known to have been so.
  uint64_t m_known_revision = 0;
  /// The revision that other hosts are told; 0: none.
  uint64_t m_published_revision = 0;
};

}  // namespace filbertrack
