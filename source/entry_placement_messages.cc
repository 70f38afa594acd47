#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/entry_placement.h"
#include "filbertrack/log.h"

/// EntryPlacement: exchanges the messages of the placement client and of the
/// placer of this host with other entry hosts.

namespace filbertrack {

namespace {

/// How long a link waits for a reply. The client decides the asks of the
/// message long before; a reply that comes until then shows that the placer is
/// back, and its grants are withdrawn. Shorter than the client's first pause,
/// so that the link is free when the placer is asked again.
constexpr Duration kReplyTimeout = Milliseconds(200);
/// A timer that is due already must not keep the event loop from its sockets.
constexpr Duration kMinTimer = Milliseconds(1) / 5;

}  // namespace

void EntryPlacement::SchedulePump() {
  if (m_pump_scheduled) {
    return;
  }
  m_pump_scheduled = true;
  m_loop.Post([this, weak = std::weak_ptr<bool>(m_alive)] {
    if (!weak.expired()) {
      Pump();
    }
  });
}

void EntryPlacement::Pump() {
  m_pump_scheduled = false;
  const TimePoint now = MonotonicNow();
  ExchangeUnresponsive(now);
  for (const auto& [placer, request] : m_client.TakeMessages(now)) {
    Send(placer, request);
  }
  for (const auto& [asker, notice] : m_placer.TakeNotices(now)) {
    SendNotice(asker, notice);
  }
  ArmTimer(now);
}

void EntryPlacement::ArmTimer(TimePoint now) {
  const std::optional<TimePoint> asks = m_client.NextDue();
  const std::optional<TimePoint> answers = m_placer.NextDue();
  std::optional<TimePoint> due = asks;
  if (answers && (!due || *answers < *due)) {
    due = answers;
  }
  if (!due || (m_timer != nullptr && m_timer_at <= *due)) {
    return;
  }
  m_timer_at = *due;
  m_timer = m_loop.After(std::max(kMinTimer, *due - now), [this] {
    m_timer.reset();
    Expire();
    Pump();
  });
}

void EntryPlacement::Expire() {
  const TimePoint now = MonotonicNow();
  std::vector<PlacementClient::Decided> expired = m_client.Expire(now);
  for (const Pool& pool : m_pools) {
    for (const std::string& host : pool.ranking) {
      UpdateFallback(host, now);
    }
  }
  Decide(std::move(expired));
}

PeerClient* EntryPlacement::IdleLink(Links& links, const std::string& host) {
  const Address* address = m_peers.AddressOf(host);
  if (address == nullptr || m_peers.secret().empty()) {
    return nullptr;
  }
  std::unique_ptr<PeerClient>& link = links[host];
  if (link == nullptr || link->busy() || !link->IsTo(*address)) {
    link = std::make_unique<PeerClient>(m_loop, m_peers.secret(), *address);
  }
  return link.get();
}

void EntryPlacement::Send(const std::string& placer,
                          const PlacementRequest& request) {
  if (placer == m_name) {
    const PlacementReply reply = m_placer.OnRequest(request, MonotonicNow());
    OnReply(placer, &reply);
    return;
  }
  PeerClient* link = IdleLink(m_ask_links, placer);
  if (link == nullptr) {
    OnReply(placer, nullptr);
    return;
  }
  ++m_sent.requests;
  link->Ask(EncodePlacementRequest(request), kReplyTimeout,
            [this, placer](const std::string* payload) {
              SchedulePump();
              if (payload == nullptr) {
                OnReply(placer, nullptr);
                return;
              }
              const Result<PlacementReply> reply =
                  DecodePlacementReply(*payload);
              if (!reply) {
                Log(LogLevel::kWarning, "peer-refused",
                    {{"peer", placer}, {"why", reply.error().message}});
              }
              OnReply(placer, reply ? &*reply : nullptr);
            });
}

void EntryPlacement::OnReply(const std::string& placer,
                             const PlacementReply* reply) {
  const TimePoint now = MonotonicNow();
  std::vector<PlacementClient::Decided> decided =
      m_client.OnReply(placer, reply, now);
  UpdateFallback(placer, now);
  Decide(std::move(decided));
}

void EntryPlacement::SendNotice(const std::string& asker,
                                const PlacementNotice& notice) {
  if (asker == m_name) {
    PlacementNoticeReply reply;
    std::vector<PlacementClient::Decided> decided =
        m_client.OnNotice(notice, reply, MonotonicNow());
    m_placer.OnNoticeReply(asker, &reply, MonotonicNow());
    Decide(std::move(decided));
    return;
  }
  PeerClient* link = IdleLink(m_notice_links, asker);
  if (link == nullptr) {
    m_placer.OnNoticeReply(asker, nullptr, MonotonicNow());
    return;
  }
  ++m_sent.notices;
  link->Ask(EncodePlacementNotice(notice), kReplyTimeout,
            [this, asker](const std::string* payload) {
              SchedulePump();
              const Result<PlacementNoticeReply> reply =
                  payload == nullptr ? Fail(ResultCode::kBadRequest, "no reply")
                                     : DecodePlacementNoticeReply(*payload);
              m_placer.OnNoticeReply(asker, reply ? &*reply : nullptr,
                                     MonotonicNow());
            });
}

void EntryPlacement::OnMessage(std::string_view payload,
                               const PeerServer::Answer& answer) {
  const TimePoint now = MonotonicNow();
  if (const auto request = DecodePlacementRequest(payload)) {
    m_askers[request->asker] = now;
    answer(EncodePlacementReply(m_placer.OnRequest(*request, now)));
    SchedulePump();
    return;
  }
  const Result<PlacementNotice> notice = DecodePlacementNotice(payload);
  if (!notice) {
    Log(LogLevel::kWarning, "peer-refused", {{"why", notice.error().message}});
    return;
  }
  PlacementNoticeReply reply;
  std::vector<PlacementClient::Decided> decided =
      m_client.OnNotice(*notice, reply, now);
  m_placer.OnClaim(*notice, now);
  answer(EncodePlacementNoticeReply(reply));
  Decide(std::move(decided));
  SchedulePump();
}

void EntryPlacement::Decide(std::vector<PlacementClient::Decided> decided) {
  for (PlacementClient::Decided& row : decided) {
    auto pending = m_pending.extract(row.id);
    if (pending.empty()) {
      // Withdrawn while the decisions before it were carried out.
      continue;
    }
    PendingAsk& ask = pending.mapped();
    m_host.metrics().OnPlacementWait(MonotonicNow() - ask.asked_at);
    if (row.cause != PlacementFallback::kNone) {
      CountFallback(row.placer, row.cause);
    }
    ask.on_decision(
        {std::move(row.decision), std::move(row.placer), row.position});
  }
}

}  // namespace filbertrack
