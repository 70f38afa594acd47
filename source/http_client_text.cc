#include "http_client_text.h"

#include <charconv>
#include <string_view>

namespace filbertrack {

std::optional<Duration> ParseKeepAliveTimeout(const HttpHeaders& headers) {
  const std::string_view text = FindHeader(headers, "Keep-Alive");
  constexpr std::string_view kName = "timeout=";
  const size_t at = text.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const char* begin = text.data() + at + kName.size();
  const auto read = std::from_chars(begin, text.data() + text.size(), seconds);
  if (read.ec != std::errc()) {
    return std::nullopt;
  }
  return Seconds(seconds);
}

std::string FormatRequest(const HttpCallRequest& call, const Address& address) {
  std::string text = call.method_text.empty()
                         ? std::string(HttpMethodName(call.method))
                         : call.method_text;
  text.append(" ").append(call.target).append(" HTTP/1.1\r\n");
  if (FindHeader(call.headers, "Host").empty()) {
    text.append("Host: ").append(address.ToString()).append("\r\n");
  }
  for (const auto& [name, value] : call.headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!call.body.empty() || text.starts_with("P")) {
    text.append("Content-Length: ")
        .append(std::to_string(call.body.size()))
        .append("\r\n");
  }
  return text.append("\r\n").append(call.body);
}

}  // namespace filbertrack
