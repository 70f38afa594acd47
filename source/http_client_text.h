#pragma once

/// Text of the requests of HttpClient, and fields that it reads of responses.

#include <optional>
#include <string>

#include "filbertrack/http_client.h"

namespace filbertrack {

/// Time for which the server keeps an idle connection; nullopt if it states
/// none.
std::optional<Duration> ParseKeepAliveTimeout(const HttpHeaders& headers);

/// The request with its header and body, for a server at `address`.
std::string FormatRequest(const HttpCallRequest& call, const Address& address);

}  // namespace filbertrack
