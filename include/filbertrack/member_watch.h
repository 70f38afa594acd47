#pragma once

/// Reads the heartbeat streams of engines. Each member has one connection, over
/// which its engine writes a line at the interval that the request specifies.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "filbertrack/event_loop.h"
#include "filbertrack/groups_evidence.h"
#include "filbertrack/http_client.h"

namespace filbertrack {

class MemberWatch {
 public:
  using OnEvidence = std::function<void(const std::string& host,
                                        const MemberEvidence& evidence)>;

  MemberWatch(EventLoop& loop, Duration interval, OnEvidence on_evidence);
  ~MemberWatch();

  /// Replaces the set of watched hosts. Connections to hosts whose address did
  /// not change are kept.
  void SetMembers(const std::map<std::string, Address, std::less<>>& members);

  /// Returns null if the host is not watched.
  const MemberEvidence* Find(std::string_view host) const;

  /// Bytes received from all members.
  uint64_t bytes_read() const { return m_bytes_read; }
  size_t size() const { return m_members.size(); }

 private:
  struct Member;

  void Connect(Member& member);
  void OnBytes(Member& member, std::string_view bytes);
  void Reconnect(Member& member, Duration delay);

  EventLoop& m_loop;
  Duration m_interval;
  OnEvidence m_on_evidence;
  HttpClient m_http;
  std::map<std::string, std::unique_ptr<Member>, std::less<>> m_members;
  uint64_t m_bytes_read = 0;
};

}  // namespace filbertrack
