#pragma once

/// A digest of a request's content, by which every entry host recognises copies
/// of the request. Request ids, connections, keys of the same workspace and the
/// order of headers may differ between copies, so none of them is part of the
/// digest.

#include <string>
#include <string_view>

namespace filbertrack {

/// 32 lower-case hexadecimal digits. The digest is one-way.
using RequestDigest = std::string;

/// The parts of a request that are equal in all of its copies.
struct RequestIdentity {
  std::string_view method;
  /// Host name of the route; case is ignored.
  std::string_view hostname;
  /// Path and query, exactly as the caller sent them.
  std::string_view target;
  /// Empty if the route needs no key.
  std::string_view workspace;
  std::string_view body;
};

RequestDigest DigestRequest(const RequestIdentity& identity);

/// Whether `text` has the form of a digest. Digests also arrive from peers and
/// must be validated.
bool IsRequestDigest(std::string_view text);

}  // namespace filbertrack
