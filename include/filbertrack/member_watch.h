#pragma once

/// Reads the standing responses of engines: one connection a member, over which
/// the engine writes a short line at the interval that the reader asked for.

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

  /// Watches exactly these hosts from now on.
  void SetMembers(const std::map<std::string, Address, std::less<>>& members);

  const MemberEvidence* Find(std::string_view host) const;

  /// Bytes of lines read so far.
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
