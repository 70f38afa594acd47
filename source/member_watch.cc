#include "filbertrack/member_watch.h"

#include <algorithm>

namespace filbertrack {

namespace {

constexpr Duration kRetryDelay = Milliseconds(200);
/// Bounds what two clocks drift apart on one connection: at 100 parts in a
/// million, 30 ms in five minutes.
constexpr Duration kConnectionAge = Seconds(300);
/// A connection without a line for so many intervals is asked for anew; a
/// broken path otherwise shows only when the operating system gives up.
constexpr int kSilentIntervals = 12;
constexpr size_t kMostLineBytes = 64 * 1024;

}  // namespace

struct MemberWatch::Member {
  std::string host;
  Address address;
  MemberEvidence evidence;
  std::string rest;
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
  member.rest.clear();
  member.evidence.OnConnect(MonotonicNow());
  HttpCallRequest request;
  request.target =
      "/v1/beats?interval_ms=" + std::to_string(ToMilliseconds(m_interval));
  request.idle_timeout = m_interval * kSilentIntervals;
  request.fresh_connection = true;
  HttpCallEvents events;
  events.on_bytes = [this, &member](std::string_view bytes) {
    OnBytes(member, bytes);
  };
  const auto ended = [this, &member] {
    member.evidence.OnDisconnected();
    m_on_evidence(member.host, member.evidence);
    Reconnect(member, kRetryDelay);
  };
  events.on_end = [ended](int) { ended(); };
  events.on_failure = [ended](bool) { ended(); };
  member.call =
      m_http.Start(member.address, std::move(request), std::move(events));
  // The old connection's last evidence stays good while the new one opens.
  member.timer =
      m_loop.After(kConnectionAge, [this, &member] { Connect(member); });
}

void MemberWatch::Reconnect(Member& member, Duration delay) {
  member.call.reset();
  member.timer = m_loop.After(delay, [this, &member] { Connect(member); });
}

void MemberWatch::OnBytes(Member& member, std::string_view bytes) {
  m_bytes_read += bytes.size();
  member.rest += bytes;
  bool changed = false;
  size_t taken = 0;
  for (size_t end = member.rest.find('\n'); end != std::string::npos;
       end = member.rest.find('\n', taken)) {
    const Result<BeatLine> beat =
        ParseBeatLine(std::string_view(member.rest).substr(taken, end - taken));
    taken = end + 1;
    if (beat) {
      member.evidence.OnBeat(*beat, MonotonicNow());
      changed = true;
    }
  }
  member.rest.erase(0, taken);
  if (member.rest.size() > kMostLineBytes) {
    member.rest.clear();
  }
  if (changed) {
    m_on_evidence(member.host, member.evidence);
  }
  if (member.evidence.IsLoose()) {
    Reconnect(member, kRetryDelay);
  }
}

}  // namespace filbertrack
