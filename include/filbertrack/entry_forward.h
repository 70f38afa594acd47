#pragma once

/// State that an entry host needs to forward requests to others while it
/// reaches no backend server, and to accept theirs.

#include <cstdint>
#include <string>

#include "filbertrack/forward_choice.h"
#include "filbertrack/forward_message.h"
#include "filbertrack/http_client.h"

namespace filbertrack {

class EntryForward {
 public:
  /// `own_name` and `data_centre` are those of this host.
  EntryForward(EventLoop& loop, std::string own_name, std::string data_centre);

  /// Sets the shared secret of the entry hosts.
  void SetSecret(std::string secret) { m_secret = std::move(secret); }
  const std::string& secret() const { return m_secret; }
  const std::string& own_name() const { return m_own_name; }
  /// Identifies this process towards the others.
  const std::string& own_token() const { return m_own_token; }

  ForwardChoice& choice() { return m_choice; }
  HttpClient& http() { return m_http; }

  /// Requests forwarded by this host, and accepted from others.
  uint64_t forwarded = 0;
  uint64_t accepted = 0;
  /// Requests of others that were refused because this host cannot serve them.
  uint64_t refused = 0;

 private:
  std::string m_own_name;
  std::string m_own_token;
  std::string m_secret;
  ForwardChoice m_choice;
  HttpClient m_http;
};

}  // namespace filbertrack
