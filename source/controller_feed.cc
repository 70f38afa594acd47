#include "filbertrack/controller_feed.h"

#include "filbertrack/config_generation.h"
#include "filbertrack/groups_state.h"
#include "filbertrack/peer_message.h"

namespace filbertrack {

namespace {

constexpr Duration kAskTimeout = Seconds(1);
/// Silence of the gateway after which the store itself is watched.
constexpr Duration kGatewaySilent = Seconds(2);

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
  const bool silent = MonotonicNow() - m_last_answer > kGatewaySilent;
  m_watch.SetPrefixes(
      silent ? std::vector<std::string>{std::string(kConfigRootKey),
                                        std::string(kDomainStatePrefix),
                                        std::string(kPlatformHostsPrefix)}
             : std::vector<std::string>());
  if (m_gateway != nullptr && !m_gateway->busy()) {
    Ask();
  }
}

void ControllerFeed::Ask() {
  // Without a name: an observer is no member, and nothing is lent to it.
  ExchangeRequest ask;
  ask.cache_digest = m_cache.Digest();
  ask.wanted_objects = std::move(m_wanted);
  m_wanted.clear();
  m_gateway->Ask(EncodePeerMessage(ask), kAskTimeout,
                 [this](const std::string* payload) { OnAnswer(payload); });
}

void ControllerFeed::OnAnswer(const std::string* payload) {
  if (payload == nullptr) {
    return;
  }
  const Result<PeerMessage> message = DecodePeerMessage(*payload);
  const ExchangeReply* answer =
      message ? std::get_if<ExchangeReply>(&*message) : nullptr;
  if (answer == nullptr) {
    return;
  }
  m_last_answer = MonotonicNow();
  bool changed = false;
  for (const StoredObject& object : answer->objects) {
    changed = m_cache.Offer(object) || changed;
  }
  m_wanted = m_cache.Missing(answer->inventory);
  if (!m_wanted.empty()) {
    Ask();
  }
  if (changed) {
    m_on_change();
  }
}

}  // namespace filbertrack
