#include "filbertrack/site_evacuations.h"

#include <utility>

namespace filbertrack {

bool SiteEvacuations::Take(DataCentres data_centres, uint64_t revision) {
  m_known = revision;
  if (data_centres == m_data_centres) {
    return false;
  }
  m_data_centres = std::move(data_centres);
  m_told = revision;
  return true;
}

bool SiteEvacuations::OnList(DataCentres data_centres, uint64_t revision) {
  // A read that may be old takes nothing back.
  return revision >= m_known && Take(std::move(data_centres), revision);
}

bool SiteEvacuations::OnNews(const EvacuationNews& news) {
  if (news.revision == 0) {
    return false;
  }
  if (news.revision > m_known) {
    return Take(news.data_centres, news.revision);
  }
  if (news.data_centres != m_data_centres) {
    // The teller missed a change that this host may know from a listing, of
    // which it has told nobody.
    m_told = m_known;
  }
  return false;
}

}  // namespace filbertrack
