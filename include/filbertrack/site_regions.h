#pragma once

/// The region of each data centre.

#include <map>
#include <string>
#include <string_view>

#include "filbertrack/base_result.h"

namespace filbertrack {

/// Region by data centre.
using RegionMap = std::map<std::string, std::string, std::less<>>;

/// Parses comma-separated `DATA-CENTRE:REGION` pairs. An empty text yields an
/// empty map; a malformed pair is an error of kSettingsInvalid.
Result<RegionMap> ParseRegions(std::string_view text);

/// Returns an empty string if the region of the data centre is unknown.
std::string RegionOf(const RegionMap& regions, std::string_view data_centre);

}  // namespace filbertrack
