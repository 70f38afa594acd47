#include "filbertrack/member_watch.h"

#include <algorithm>

namespace filbertrack {

namespace {

constexpr Duration kRetryDelay = Milliseconds(200);
/// Connections are renewed at this age to bound the drift between the clocks of
/// both sides: 30 ms at 100 parts per million.
constexpr Duration kConnectionAge = Seconds(300);
/// A connection without a line for this many intervals is opened again. A
/// broken network path would otherwise be noticed only at the TCP timeout of
/// the operating system.
constexpr int kIdleTimeoutIntervals = 12;
constexpr size_t kMaxLineBytes = 64 * 1024;

}  // namespace

struct MemberWatch::Member {
  std::string host;
  Address address;
  MemberEvidence evidence;
  /// Start of a line whose end has not been received yet.
  std::string partial_line;
  std::unique_ptr<HttpCall> call;
  std::unique_ptr<Timer> timer;
};

MemberWatch::MemberWatch(EventLoop& loop,
                         Duration interval,
                         OnEvidence on_evidence)
    : m_loop(loop),
      m_interval(interval),
      m_on_evidence(std::move(on_evidence)),
      m_http(loop, 0) {}

MemberWatch::~MemberWatch() = default;

void MemberWatch::SetMembers(
    const std::map<std::string, Address, std::less<>>& members) {
  std::erase_if(m_members, [&members](const auto& entry) {
    const auto wanted = members.find(entry.first);
    return wanted == members.end() || wanted->second != entry.second->address;
  });
  for (const auto& [host, address] : members) {
    std::unique_ptr<Member>& member = m_members[host];
    if (member == nullptr) {
      member = std::make_unique<Member>();
      member->host = host;
      member->address = address;
      Connect(*member);
    }
  }
}

const MemberEvidence* MemberWatch::Find(std::string_view host) const {
  const auto member = m_members.find(host);
  return member == m_members.end() ? nullptr : &member->second->evidence;
}

void MemberWatch::Connect(Member& member) {
  member.partial_line.clear();
  member.evidence.OnConnect(MonotonicNow());
  HttpCallRequest request;
  request.target =
      "/v1/beats?interval_ms=" + std::to_string(ToMilliseconds(m_interval));
  request.idle_timeout = m_interval * kIdleTimeoutIntervals;
  request.fresh_connection = true;
  HttpCallEvents events;
  events.on_bytes = [this, &member](std::string_view bytes) {
    OnBytes(member, bytes);
  };
  const auto on_ended = [this, &member] {
    member.evidence.OnDisconnected();
    m_on_evidence(member.host, member.evidence);
    Reconnect(member, kRetryDelay);
  };
  events.on_end = [on_ended](int) { on_ended(); };
  events.on_failure = [on_ended](bool) { on_ended(); };
  member.call =
      m_http.Start(member.address, std::move(request), std::move(events));
  // The last evidence of the old connection stays valid while the new one is
  // being opened.
  member.timer =
      m_loop.After(kConnectionAge, [this, &member] { Connect(member); });
}

void MemberWatch::Reconnect(Member& member, Duration delay) {
  member.call.reset();
  member.timer = m_loop.After(delay, [this, &member] { Connect(member); });
}

void MemberWatch::OnBytes(Member& member, std::string_view bytes) {
  m_bytes_read += bytes.size();
  member.partial_line += bytes;
  bool changed = false;
  size_t consumed = 0;
  for (size_t end = member.partial_line.find('\n'); end != std::string::npos;
       end = member.partial_line.find('\n', consumed)) {
    const Result<HeartbeatLine> beat = ParseHeartbeatLine(
        std::string_view(member.partial_line).substr(consumed, end - consumed));
    consumed = end + 1;
    if (beat) {
      member.evidence.OnHeartbeatLine(*beat, MonotonicNow());
      changed = true;
    }
  }
  member.partial_line.erase(0, consumed);
  if (member.partial_line.size() > kMaxLineBytes) {
    member.partial_line.clear();
  }
  if (changed) {
    m_on_evidence(member.host, member.evidence);
  }
  if (member.evidence.NeedsReconnect()) {
    Reconnect(member, kRetryDelay);
  }
}

}  // namespace filbertrack
