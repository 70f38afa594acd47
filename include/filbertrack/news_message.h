#pragma once

/// What entry hosts of a platform tell each other: the newest configuration,
/// registrations that the other lacks, and the work that each has at the
/// targets. At rest a message holds numbers only.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertrack/base_result.h"
#include "filbertrack/change_log.h"

namespace filbertrack {

inline constexpr uint64_t kNewsProtocol = 1;

/// Work of the sender at one target.
struct NewsLoad {
  std::string target;
  int requests = 0;
  double prompt_tokens = 0;
};

/// How far the sender knows the store.
struct NewsState {
  std::string node;
  /// The sender has requests, or its platform sends it some.
  bool ready = false;
  uint64_t config_version = 0;
  uint64_t servers_revision = 0;
  std::vector<NewsLoad> loads;
};

struct NewsAsk {
  NewsState state;
};

struct NewsAnswer {
  NewsState state;
  /// Text of the answerer's configuration where the asker's is older.
  std::string config;
  /// Registrations that the asker lacks, up to `state.servers_revision`.
  std::vector<LoggedObject> servers;
  /// `servers` is all there are.
  bool servers_whole = false;
};

std::string EncodeNewsAsk(const NewsAsk& ask);
std::string EncodeNewsAnswer(const NewsAnswer& answer);

/// Refuse bytes of another protocol version or shape.
Result<NewsAsk> DecodeNewsAsk(std::string_view bytes);
Result<NewsAnswer> DecodeNewsAnswer(std::string_view bytes);

/// What to answer, given what both sides have.
NewsAnswer AnswerNews(const NewsState& own,
                      const std::string& own_config,
                      const ChangeLog& servers,
                      const NewsState& asker);

}  // namespace filbertrack
