#include "filbertrack/site_regions.h"

#include <algorithm>

namespace filbertrack {

Result<RegionMap> ParseRegions(std::string_view text) {
  RegionMap regions;
  while (!text.empty()) {
    const std::string_view pair = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    const size_t colon = pair.find(':');
    const bool is_valid =
        colon != std::string_view::npos && colon > 0 && colon + 1 < pair.size();
    if (!is_valid) {
      return Fail(
          ResultCode::kSettingsInvalid,
          "'" + std::string(pair) +
              "' is not a valid region entry; expected DATA-CENTRE:REGION.");
    }
    regions[std::string(pair.substr(0, colon))] = pair.substr(colon + 1);
  }
  return regions;
}

std::string RegionOf(const RegionMap& regions, std::string_view data_centre) {
  const auto found = regions.find(data_centre);
  return found == regions.end() ? "" : found->second;
}

}  // namespace filbertrack
