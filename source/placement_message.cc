#include "filbertrack/placement_message.h"

namespace filbertrack {

bool IsPlacementMessage(std::string_view) {
  return false;
}
std::string EncodePlacementRequest(const PlacementRequest&) {
  return {};
}
std::string EncodePlacementReply(const PlacementReply&) {
  return {};
}
std::string EncodePlacementNotice(const PlacementNotice&) {
  return {};
}
std::string EncodePlacementNoticeReply(const PlacementNoticeReply&) {
  return {};
}
Result<PlacementRequest> DecodePlacementRequest(std::string_view) {
  return Fail(ResultCode::kBadRequest, "Not implemented.");
}
Result<PlacementReply> DecodePlacementReply(std::string_view) {
  return Fail(ResultCode::kBadRequest, "Not implemented.");
}
Result<PlacementNotice> DecodePlacementNotice(std::string_view) {
  return Fail(ResultCode::kBadRequest, "Not implemented.");
}
Result<PlacementNoticeReply> DecodePlacementNoticeReply(std::string_view) {
  return Fail(ResultCode::kBadRequest, "Not implemented.");
}

}  // namespace filbertrack
