#include "filbertrack/controller_feed.h"

#include "filbertrack/config_generation.h"
#include "filbertrack/groups_state.h"
#include "filbertrack/peer_message.h"

namespace filbertrack {

namespace {

constexpr Duration kRequestTimeout = Seconds(1);
/// The store itself is watched if the gateway has not answered for this long.
constexpr Duration kGatewaySilenceTimeout = Seconds(2);

}  // namespace

ControllerFeed::ControllerFeed(EventLoop& loop,
                               const Settings& settings,
                               StoreClient& store,
                               ObjectCache& cache,
                               std::function<void()> on_change)
    : m_cache(cache),
      m_on_change(std::move(on_change)),
      m_watch(loop, store, cache, [this] { m_on_change(); }) {
  const std::vector<Address>& gateway = settings.Addresses("gateway", "peers");
  if (!gateway.empty()) {
    m_gateway = std::make_unique<PeerClient>(
        loop, settings.Text("gateway", "key"), gateway.front());
  }
  m_timer =
      loop.Every(settings.Time("gateway", "interval"), [this] { Tick(); });
}

ControllerFeed::~ControllerFeed() = default;

void ControllerFeed::Tick() {
  const bool gateway_silent =
      MonotonicNow() - m_last_reply > kGatewaySilenceTimeout;
  m_watch.SetPrefixes(
      gateway_silent
          ? std::vector<std::string>{std::string(kConfigRootKey),
                                     std::string(kDomainStatePrefix),
                                     std::string(kPlatformHostsPrefix)}
          : std::vector<std::string>());
  if (m_gateway != nullptr && !m_gateway->busy()) {
    RequestObjects();
  }
}

void ControllerFeed::RequestObjects() {
  // The request has no sender name: an observer is not a member and receives no
  // loans.
  ExchangeRequest request;
  request.cache_digest = m_cache.Digest();
  request.wanted_objects = std::move(m_wanted_keys);
  m_wanted_keys.clear();
  m_gateway->Ask(EncodePeerMessage(request), kRequestTimeout,
                 [this](const std::string* payload) { OnReply(payload); });
}

void ControllerFeed::OnReply(const std::string* payload) {
  if (payload == nullptr) {
    return;
  }
  const Result<PeerMessage> message = DecodePeerMessage(*payload);
  const ExchangeReply* reply =
      message ? std::get_if<ExchangeReply>(&*message) : nullptr;
  if (reply == nullptr) {
    return;
  }
  m_last_reply = MonotonicNow();
  bool changed = false;
  for (const StoredObject& object : reply->objects) {
    changed = m_cache.Offer(object) || changed;
  }
  m_wanted_keys = m_cache.Missing(reply->inventory);
  if (!m_wanted_keys.empty()) {
    RequestObjects();
  }
  if (changed) {
    m_on_change();
  }
}

}  // namespace filbertrack
