#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "filbertrack/news_message.h"

namespace filbertrack {
namespace {

NewsState MakeState(uint64_t config, uint64_t servers) {
  NewsState state;
  state.node = "n";
  state.address = "127.0.0.1:1";
  state.config_version = config;
  state.servers_revision = servers;
  state.loads = {{"t", 3, 1500}};
  return state;
}

TEST_CASE("an answer holds what the asker lacks and no more") {
  ChangeLog log(10);
  log.Put({"a", 1, "one"});
  log.Put({"b", 5, "two"});
  log.Put({"c", 6, ""});
  log.Reach(6);
  const NewsAnswer behind =
      AnswerNews(MakeState(3, 6), "config", log, {MakeState(2, 4), true});
  CHECK(behind.config == "config");
  REQUIRE(behind.servers.size() == 2);
  CHECK(behind.servers[0].id == "b");
  CHECK(behind.servers[1].text.empty());
  CHECK_FALSE(behind.servers_whole);
  // A peer that asks elsewhere for the configuration is not sent it again.
  CHECK(AnswerNews(MakeState(3, 6), "config", log, {MakeState(2, 4), false})
            .config.empty());
  const NewsAnswer level =
      AnswerNews(MakeState(3, 6), "config", log, {MakeState(3, 6), true});
  CHECK(level.config.empty());
  CHECK(level.servers.empty());
  const NewsAnswer ahead =
      AnswerNews(MakeState(3, 6), "config", log, {MakeState(4, 9), true});
  CHECK(ahead.config.empty());
  CHECK(ahead.servers.empty());
}

TEST_CASE("an asker from before the log's memory gets all there is") {
  // It was cut off for so long that removals it missed are forgotten; what is
  // not in a whole answer is gone.
  ChangeLog log(1);
  log.Put({"a", 1, "one"});
  log.Put({"b", 2, ""});
  log.Put({"c", 3, ""});
  log.Reach(3);
  const NewsAnswer answer =
      AnswerNews(MakeState(1, 3), "", log, {MakeState(1, 0), true});
  CHECK(answer.servers_whole);
  REQUIRE(answer.servers.size() == 1);
  CHECK(answer.servers[0].id == "a");
}

TEST_CASE("messages arrive as they were sent") {
  const NewsAsk ask{MakeState(7, 9)};
  const auto read = DecodeNewsAsk(EncodeNewsAsk(ask));
  REQUIRE(read);
  CHECK(read->state.config_version == 7);
  CHECK(read->state.loads[0].target == "t");
  CHECK(read->state.loads[0].requests == 3);
  NewsAnswer answer;
  answer.state = MakeState(1, 2);
  answer.config = "text";
  answer.servers = {{"a", 4, "x"}};
  answer.servers_whole = true;
  const auto got = DecodeNewsAnswer(EncodeNewsAnswer(answer));
  REQUIRE(got);
  CHECK(got->config == "text");
  CHECK(got->servers == answer.servers);
  CHECK(got->servers_whole);
}

TEST_CASE("a return of the store is told with its age") {
  NewsAsk ask{MakeState(1, 2)};
  CHECK_FALSE(DecodeNewsAsk(EncodeNewsAsk(ask))->state.store_back_for);
  ask.state.store_back_for = Milliseconds(1500);
  CHECK(DecodeNewsAsk(EncodeNewsAsk(ask))->state.store_back_for ==
        Milliseconds(1500));
}

TEST_CASE("all hosts choose the same watchers, and losing one changes one") {
  REQUIRE(rc::check("watchers", [] {
    const auto count = *rc::gen::inRange(1, 60);
    std::vector<std::string> hosts;
    for (int i = 0; i < count; ++i) {
      hosts.push_back("host-" + std::to_string(i));
    }
    const auto chosen = ChooseWatchers(hosts, 4);
    std::reverse(hosts.begin(), hosts.end());
    RC_ASSERT(ChooseWatchers(hosts, 4) == chosen);
    RC_ASSERT(chosen.size() == static_cast<size_t>(std::min(count, 4)));
    std::erase(hosts, chosen.front());
    const auto after = ChooseWatchers(hosts, 4);
    RC_ASSERT(std::equal(chosen.begin() + 1, chosen.end(), after.begin()));
  }));
}

TEST_CASE("other bytes are refused with a reason") {
  REQUIRE(rc::check("any bytes", [](const std::string& bytes) {
    RC_ASSERT(!DecodeNewsAsk(bytes));
    RC_ASSERT(!DecodeNewsAnswer(bytes));
  }));
  REQUIRE(rc::check("a message cut short", [] {
    const std::string whole = EncodeNewsAsk({MakeState(1, 2)});
    const auto size = *rc::gen::inRange<size_t>(0, whole.size());
    RC_ASSERT(!DecodeNewsAsk(whole.substr(0, size)));
  }));
  CHECK_FALSE(DecodeNewsAnswer(EncodeNewsAsk({MakeState(1, 2)})));
}

}  // namespace
}  // namespace filbertrack
