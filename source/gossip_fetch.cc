#include "filbertrack/gossip_fetch.h"

namespace filbertrack {

bool GossipFetch::MayBegin(TimePoint now) const {
  if (!m_peer.empty()) {
    return now - m_start >= m_timeout;
  }
  return !m_end || now - *m_end >= m_min_gap;
}

void GossipFetch::Begin(std::string_view peer, TimePoint now) {
  m_peer = peer;
  m_start = now;
}

void GossipFetch::End(std::string_view peer, TimePoint now) {
  if (IsFrom(peer)) {
    m_peer.clear();
    m_end = now;
  }
}

}  // namespace filbertrack
