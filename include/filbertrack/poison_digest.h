#pragma once

/// A name for what a request asks, so that copies of it are known at any entry
/// host. Callers give each try an id of its own, and may come by another
/// connection, with another key of the same workspace, or with headers in
/// another order: none of these is part of the name.

#include <string>
#include <string_view>

namespace filbertrack {

/// 32 lower-case hexadecimal digits. The request cannot be read back from it.
using RequestDigest = std::string;

/// What stays the same when a request comes again.
struct RequestIdentity {
  std::string_view method;
  /// Of the route; compared without regard to case.
  std::string_view hostname;
  /// Path with the query, as the caller wrote it.
  std::string_view target;
  /// Empty where the route needs no key.
  std::string_view workspace;
  std::string_view body;
};

RequestDigest DigestRequest(const RequestIdentity& identity);

/// Whether the text has the form of a digest: others tell them too.
bool IsRequestDigest(std::string_view text);

}  // namespace filbertrack
