#include "filbertrack/site_evacuations.h"

#include <utility>

namespace filbertrack {

bool SiteEvacuations::Apply(DataCentres data_centres, uint64_t revision) {
  m_known_revision = revision;
  if (data_centres == m_data_centres) {
    return false;
  }
  m_data_centres = std::move(data_centres);
  m_published_revision = revision;
  return true;
}

bool SiteEvacuations::OnList(DataCentres data_centres, uint64_t revision) {
  // An older listing may be stale and reverts nothing.
  return revision >= m_known_revision &&
         Apply(std::move(data_centres), revision);
}

bool SiteEvacuations::OnPeerUpdate(const EvacuationUpdate& update) {
  if (update.revision == 0) {
    return false;
  }
  if (update.revision > m_known_revision) {
    return Apply(update.data_centres, update.revision);
  }
  if (update.data_centres != m_data_centres) {
    // The peer missed a change that this host may have learned from a listing,
    // which it does not publish. Publish it now.
    m_published_revision = m_known_revision;
  }
  return false;
}

}  // namespace filbertrack
