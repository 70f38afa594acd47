#include "fuzz_untrusted.h"

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "filbertrack/entry_poison_record.h"
#include "filbertrack/forward_message.h"
#include "filbertrack/gossip_message.h"
#include "filbertrack/placement_message.h"
#include "platform_decode.h"

namespace filbertrack {

namespace {

void DecodePlatformJson(const nlohmann::json& value) {
  (void)platform::DecodeServer("i-1", value);
  (void)platform::DecodeCatalog(value);
  (void)platform::DecodeReport(value);
}

}  // namespace

void FuzzUntrusted(std::string_view bytes) {
  const auto json = nlohmann::json::parse(bytes, nullptr, false);
  if (!json.is_discarded()) {
    DecodePlatformJson(json);
  }
  const platform::PlatformDecoder decoder;
  (void)decoder.ReadServer("i-1", bytes);
  (void)decoder.ReadCatalog(bytes);
  (void)DecodeGossipRequest(bytes);
  (void)DecodeGossipReply(bytes);
  (void)DecodeProbeRequest(bytes);
  (void)DecodeProbeReply(bytes);
  (void)DecodeForwardedCall(bytes, {"secret", "token", "GET", "/", "id", ""});
  (void)DecodeForwardRefusal(bytes);
  (void)ParsePoisonRecord(bytes);
  (void)IsPlacementMessage(bytes);
  (void)DecodePlacementRequest(bytes);
  (void)DecodePlacementReply(bytes);
  (void)DecodePlacementNotice(bytes);
  (void)DecodePlacementNoticeReply(bytes);
}

}  // namespace filbertrack
