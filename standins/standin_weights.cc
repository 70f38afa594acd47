/// Stand-in for the weight store: allows a number of loads per sliding window,
/// and answers further loads with 429 and Retry-After.

#include <cstdio>
#include <deque>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "filbertrack/http_server.h"
#include "standin_serve.h"

namespace filbertrack {
namespace {

struct WeightsOptions {
  std::string listen = "127.0.0.1:0";
  size_t loads = 4;
  int64_t window_ms = 1000;
};

class WeightsStandin {
 public:
  explicit WeightsStandin(const WeightsOptions& options) : m_options(options) {}

  void Handle(HttpExchange& exchange, TimePoint now) {
    if (exchange.path() == "/v1/stats") {
      exchange.Reply(
          200, {},
          nlohmann::json({{"served", m_served}, {"limited", m_limited}})
              .dump());
      return;
    }
    const Duration window = Milliseconds(m_options.window_ms);
    while (!m_recent.empty() && now - m_recent.front() >= window) {
      m_recent.pop_front();
    }
    if (m_recent.size() >= m_options.loads) {
      ++m_limited;
      const Duration wait = window - (now - m_recent.front());
      const int64_t seconds = wait / Seconds(1) + 1;
      exchange.Reply(429, {{"Retry-After", std::to_string(seconds)}}, "{}");
      return;
    }
    ++m_served;
    m_recent.push_back(now);
    exchange.Reply(200, {}, "{}");
  }

 private:
  WeightsOptions m_options;
  std::deque<TimePoint> m_recent;
  uint64_t m_served = 0;
  uint64_t m_limited = 0;
};

}  // namespace
}  // namespace filbertrack

int main(int argc, char** argv) {
  CLI::App app("Stand-in for the rate-limited weight store.");
  filbertrack::WeightsOptions options;
  app.add_option("--listen", options.listen, "Address to listen on.");
  app.add_option("--loads", options.loads, "Loads allowed per window.");
  app.add_option("--window-ms", options.window_ms,
                 "Length of the window, in milliseconds.");
  CLI11_PARSE(app, argc, argv);
  return filbertrack::ServeStandin(
      options.listen, {}, [&options](filbertrack::EventLoop&) {
        auto weights = std::make_shared<filbertrack::WeightsStandin>(options);
        return [weights](auto exchange) {
          weights->Handle(*exchange, filbertrack::MonotonicNow());
        };
      });
}
