#pragma once

/// Which region each data centre stands in.

#include <map>
#include <string>
#include <string_view>

#include "filbertrack/base_result.h"

namespace filbertrack {

/// Region by data centre.
using RegionMap = std::map<std::string, std::string, std::less<>>;

/// Reads `DATA-CENTRE:REGION` pairs, separated by commas; an empty text is an
/// empty map.
Result<RegionMap> ParseRegions(std::string_view text);

/// Empty where the data centre's region is not known.
std::string RegionOf(const RegionMap& regions, std::string_view data_centre);

}  // namespace filbertrack
