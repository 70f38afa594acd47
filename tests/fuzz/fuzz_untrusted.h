#pragma once

/// Everything that reads bytes of others: entries and configurations of the
/// store, reports of backend servers, messages of peers. None of them may end
/// the process, or do what the language leaves undefined.

#include <string_view>

namespace filbertrack {

void FuzzUntrusted(std::string_view bytes);

}  // namespace filbertrack
