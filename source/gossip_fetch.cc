#include "filbertrack/gossip_fetch.h"

namespace filbertrack {

bool NewsFetch::MayBegin(TimePoint now) const {
  if (!m_peer.empty()) {
    return now - m_began >= m_patience;
  }
  return !m_ended || now - *m_ended >= m_spacing;
}

void NewsFetch::Begin(std::string_view peer, TimePoint now) {
  m_peer = peer;
  m_began = now;
}

void NewsFetch::End(std::string_view peer, TimePoint now) {
  if (IsFrom(peer)) {
    m_peer.clear();
    m_ended = now;
  }
}

}  // namespace filbertrack
