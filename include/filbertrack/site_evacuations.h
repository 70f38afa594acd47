#pragma once

/// The data centres that the operator has evacuated, i.e. to whose backend
/// servers nothing more is to be sent. The state is learned from the store and
/// from other entry hosts; the one with the higher store revision wins.

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace filbertrack {

/// The evacuation state as sent to another entry host.
struct EvacuationUpdate {
  /// Store revision of this state; 0 if there is nothing to send.
  uint64_t revision = 0;
  std::set<std::string, std::less<>> data_centres;

  bool operator==(const EvacuationUpdate&) const = default;
};

class SiteEvacuations {
 public:
  using DataCentres = std::set<std::string, std::less<>>;

  /// Applies a complete listing of the store at `revision`. Returns whether the
  /// state changed.
  bool OnList(DataCentres data_centres, uint64_t revision);

  /// Applies an update from another entry host. Returns whether the state
  /// changed.
  bool OnPeerUpdate(const EvacuationUpdate& update);

  bool Contains(std::string_view data_centre) const {
    return m_data_centres.contains(data_centre);
  }
  const DataCentres& data_centres() const { return m_data_centres; }

  /// The update for other hosts; revision 0 until something was evacuated.
  EvacuationUpdate News() const {
    return {m_published_revision, UpdatedDataCentres()};
  }

 private:
  bool Apply(DataCentres data_centres, uint64_t revision);
  DataCentres UpdatedDataCentres() const {
    return m_published_revision == 0 ? DataCentres{} : m_data_centres;
  }

  DataCentres m_data_centres;
  /// Latest store revision at which this state is known to be valid.
  uint64_t m_known_revision = 0;
  /// Revision that is sent to other hosts; 0 if nothing is sent.
  uint64_t m_published_revision = 0;
};

}  // namespace filbertrack
