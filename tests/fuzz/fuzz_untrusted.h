#pragma once

/// Passes one input to all decoders of untrusted data: entries and
/// configurations of the store, reports of backend servers, and messages of
/// peers. None of them may crash the process or cause undefined behaviour.

#include <string_view>

namespace filbertrack {

void FuzzUntrusted(std::string_view bytes);

}  // namespace filbertrack
