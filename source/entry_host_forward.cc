#include <nlohmann/json.hpp>

#include "filbertrack/entry_host.h"
#include "filbertrack/log.h"

/// EntryHost: requests that are forwarded between entry hosts because one of
/// them reaches no backend server.

namespace filbertrack {

namespace {

/// How long the offers of peers are kept up to date after a check.
constexpr Duration kOffersTtl = Seconds(3);
/// A forwarded request is refused while the event loop is later than this, so
/// that the host's own callers are served first.
constexpr Duration kMaxLateness = Milliseconds(50);
/// Added to the size of a header, for the field that authenticates it.
constexpr size_t kForwardedHeaderBytes = 1024;

}  // namespace

Result<Address> EntryHost::ListenForForwarded(const Address& address,
                                              const std::string& secret) {
  m_forward.SetSecret(secret);
  m_forward_server = std::make_unique<HttpServer>(
      m_loop, HttpServerLimits{},
      [this](const std::shared_ptr<HttpExchange>& exchange) {
        OnForwarded(exchange, MonotonicNow());
      });
  UpdateForwardLimits();
  Result<Address> bound = m_forward_server->Listen(address);
  if (!bound) {
    m_forward_server.reset();
    return bound;
  }
  m_forward_address = *bound;
  return bound;
}

void EntryHost::UpdateForwardLimits() {
  if (m_forward_server == nullptr || m_catalog == nullptr) {
    return;
  }
  const CallerLimits& limits = m_catalog->limits();
  m_forward_server->SetBudget(m_request_budget);
  m_forward_server->SetLimits({limits.max_header_bytes + kForwardedHeaderBytes,
                               limits.max_body_bytes, limits.header_timeout,
                               limits.idle_timeout,
                               m_settings.Time("callers", "unread_timeout")});
}

bool EntryHost::AcceptsForwarded() const {
  return IsReady() && reach().reachable() &&
         m_reach.lateness() <= kMaxLateness && !m_held_decision.is_full;
}

std::optional<ForwardOffer> EntryHost::OwnForwardOffer() const {
  if (m_forward_server == nullptr) {
    return std::nullopt;
  }
  return ForwardOffer{m_forward_address.port, m_forward.own_token(),
                      AcceptsForwarded()};
}

void EntryHost::OnPeerForwardOffer(const FleetHost& peer,
                                   const std::string& peer_address,
                                   const ForwardOffer& offer) {
  const Result<Address> address = ParseServerAddress(peer_address);
  if (!address) {
    return;
  }
  m_forward.choice().OnReport({peer.name,
                               peer.data_centre,
                               RegionOf(m_regions, peer.data_centre),
                               {address->host, offer.port},
                               offer.token},
                              offer.accepts, MonotonicNow());
}

bool EntryHost::NeedsForwardOffers() const {
  return !reach().reachable() || !m_reach.unreachable_servers().empty() ||
         MonotonicNow() - m_suspected_at < kOffersTtl;
}

void EntryHost::OnReachSuspected() {
  const bool needed = NeedsForwardOffers();
  m_suspected_at = MonotonicNow();
  if (!needed && m_on_offers_needed) {
    m_on_offers_needed();
  }
}

void EntryHost::OnReachChanged() {
  const TimePoint now = MonotonicNow();
  m_poison.SetServersReachable(reach().reachable(), now);
  if (reach().reachable()) {
    m_selector.ClearFailures();
    return;
  }
  // A relay that ends stays valid until the next iteration of the event loop.
  for (EntryRelay* relay : OpenRelays()) {
    relay->OnServersUnreachable();
  }
}

void EntryHost::OnServerUnreachable(const Address& server) {
  for (EntryRelay* relay : OpenRelays()) {
    relay->OnServerUnreachable(server);
  }
}

void EntryHost::OnForwarded(const std::shared_ptr<HttpExchange>& exchange,
                            TimePoint arrived) {
  const bool is_deferred =
      m_view.DeferIfOutdated(MonotonicNow(), [this, exchange, arrived] {
        if (exchange->IsOpen()) {
          OnForwarded(exchange, arrived);
        }
      });
  if (is_deferred) {
    return;
  }
  EntryRequest request;
  request.facts = m_header_codec.ReadCall(*exchange);
  const Result<ForwardedCall> call = DecodeForwardedCall(
      exchange->Header(kForwardedHeader),
      {m_forward.secret(), m_forward.own_token(), exchange->method_text(),
       exchange->target(), request.facts.request_id, exchange->body()});
  request.arrived = arrived;
  request.forwarded = ForwardedFrom{};
  if (!call) {
    Log(LogLevel::kWarning, "forwarded-invalid",
        {{"why", call.error().message}});
    Reject(*exchange, request, ResultCode::kConfigMayBeStale);
    return;
  }
  exchange->RemoveHeader(kForwardedHeader);
  request.arrived = arrived - call->age;
  request.deadline = arrived + call->time_left;
  request.facts.time_left = call->time_left;
  request.facts.last_event = call->last_event;
  request.forwarded = ForwardedFrom{call->from, call->attempts};
  const bool is_behind =
      m_catalog == nullptr || m_catalog->version() < call->config_version;
  if (!AcceptsForwarded() || is_behind) {
    ++m_forward.refused;
    Reject(*exchange, request,
           is_behind ? ResultCode::kConfigMayBeStale
                     : ResultCode::kServersUnreachable);
    return;
  }
  m_traffic_seen = true;
  if (Admit(exchange, request)) {
    ++m_forward.accepted;
    StartRelay(std::move(request), exchange);
  }
}

}  // namespace filbertrack
