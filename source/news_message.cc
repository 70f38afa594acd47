#include "filbertrack/news_message.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "filbertrack/base_cbor.h"
#include "filbertrack/base_hash.h"

namespace filbertrack {

namespace {

using Json = nlohmann::json;

/// Stands for a time that did not come.
constexpr int64_t kNever = -1;

enum class NewsKind : int { kAsk = 1, kAnswer = 2 };

Json Pack(const NewsState& state) {
  Json loads = Json::array();
  for (const NewsLoad& load : state.loads) {
    loads.push_back(Json::array({load.target, load.requests,
                                 static_cast<int64_t>(load.prompt_tokens)}));
  }
  Json hosts = Json::array();
  for (const NewsHost& host : state.hosts) {
    hosts.push_back(
        Json::array({host.name, host.store_fails, ToMilliseconds(host.age)}));
  }
  const int64_t back_for =
      state.store_back_for ? ToMilliseconds(*state.store_back_for) : kNever;
  return Json::array({state.node, state.address, state.ready, state.store_fails,
                      back_for, state.config_version, state.servers_revision,
                      std::move(loads), state.data_centre,
                      state.covers_data_centre, std::move(hosts)});
}

NewsState UnpackState(const Json& value) {
  NewsState state;
  state.node = value.at(0).get<std::string>();
  state.address = value.at(1).get<std::string>();
  state.ready = value.at(2).get<bool>();
  state.store_fails = value.at(3).get<bool>();
  const auto back_for = value.at(4).get<int64_t>();
  if (back_for != kNever) {
    state.store_back_for = Milliseconds(back_for);
  }
  state.config_version = value.at(5).get<uint64_t>();
  state.servers_revision = value.at(6).get<uint64_t>();
  for (const Json& row : value.at(7)) {
    state.loads.push_back({row.at(0).get<std::string>(), row.at(1).get<int>(),
                           row.at(2).get<double>()});
  }
  state.data_centre = value.at(8).get<std::string>();
  state.covers_data_centre = value.at(9).get<bool>();
  for (const Json& row : value.at(10)) {
    state.hosts.push_back({row.at(0).get<std::string>(), row.at(1).get<bool>(),
                           Milliseconds(row.at(2).get<int64_t>())});
  }
  return state;
}

Json ToBytes(const std::string& text) {
  return Json::binary(std::vector<uint8_t>(text.begin(), text.end()));
}

Json Envelope(NewsKind kind, Json body) {
  return Json::array({kNewsProtocol, static_cast<int>(kind), std::move(body)});
}

/// Runs `read` over the body of a message of this kind.
template <typename Message, typename Read>
Result<Message> Decode(std::string_view bytes, NewsKind kind, Read read) {
  const auto value = ParseCbor(bytes);
  if (!value) {
    return Fail(ResultCode::kBadRequest, "a peer sent bytes that are no CBOR.");
  }
  try {
    if (value->at(0).get<uint64_t>() != kNewsProtocol) {
      return Fail(ResultCode::kBadRequest,
                  "a peer speaks protocol " + value->at(0).dump() +
                      "; this host speaks " + std::to_string(kNewsProtocol) +
                      ".");
    }
    if (value->at(1).get<int>() != static_cast<int>(kind)) {
      return Fail(ResultCode::kBadRequest,
                  "a peer sent a message of kind " + value->at(1).dump() +
                      "; expected " + std::to_string(static_cast<int>(kind)) +
                      ".");
    }
    return read(value->at(2));
  } catch (const Json::exception& bad) {
    return Fail(ResultCode::kBadRequest,
                std::string("a peer's message cannot be read: ") + bad.what());
  }
}

}  // namespace

std::string EncodeNewsAsk(const NewsAsk& ask) {
  return ToCbor(Envelope(NewsKind::kAsk,
                         Json::array({Pack(ask.state), ask.wants_config})));
}

std::string EncodeNewsAnswer(const NewsAnswer& answer) {
  Json servers = Json::array();
  for (const LoggedObject& object : answer.servers) {
    servers.push_back(Json::array({object.id, object.version, object.text}));
  }
  return ToCbor(
      Envelope(NewsKind::kAnswer,
               Json::array({Pack(answer.state), ToBytes(answer.config),
                            std::move(servers), answer.servers_whole})));
}

Result<NewsAsk> DecodeNewsAsk(std::string_view bytes) {
  return Decode<NewsAsk>(bytes, NewsKind::kAsk, [](const Json& body) {
    return NewsAsk{UnpackState(body.at(0)), body.at(1).get<bool>()};
  });
}

Result<NewsAnswer> DecodeNewsAnswer(std::string_view bytes) {
  return Decode<NewsAnswer>(bytes, NewsKind::kAnswer, [](const Json& body) {
    NewsAnswer answer;
    answer.state = UnpackState(body.at(0));
    const auto& config = body.at(1).get_binary();
    answer.config.assign(config.begin(), config.end());
    for (const Json& row : body.at(2)) {
      answer.servers.push_back({row.at(0).get<std::string>(),
                                row.at(1).get<uint64_t>(),
                                row.at(2).get<std::string>()});
    }
    answer.servers_whole = body.at(3).get<bool>();
    return answer;
  });
}

std::vector<std::string> ChooseWatchers(std::vector<std::string> hosts,
                                        size_t count) {
  const size_t chosen = std::min(count, hosts.size());
  std::partial_sort(hosts.begin(),
                    hosts.begin() + static_cast<ptrdiff_t>(chosen), hosts.end(),
                    [](const std::string& left, const std::string& right) {
                      return RendezvousWeight("watch", left) >
                             RendezvousWeight("watch", right);
                    });
  hosts.resize(chosen);
  return hosts;
}

NewsAnswer AnswerNews(const NewsState& own,
                      const std::string& own_config,
                      const ChangeLog& servers,
                      const NewsAsk& ask) {
  const NewsState& asker = ask.state;
  NewsAnswer answer;
  answer.state = own;
  if (ask.wants_config && asker.config_version < own.config_version) {
    answer.config = own_config;
  }
  if (asker.servers_revision >= own.servers_revision) {
    return answer;
  }
  auto missed = servers.Since(asker.servers_revision);
  answer.servers_whole = !missed.has_value();
  answer.servers = missed ? std::move(*missed) : servers.All();
  return answer;
}

}  // namespace filbertrack
