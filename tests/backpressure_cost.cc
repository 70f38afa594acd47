/// Benchmark, not a test: prints the cost of rate limits to an entry host of a
/// large fleet in which every server names one.

#include <ctime>

#include <cstdio>
#include <string>
#include <vector>

#include "filbertrack/backpressure.h"
#include "filbertrack/gossip_message.h"

namespace {

using namespace filbertrack;

constexpr int kHosts = 330;
constexpr int kServers = 3300;

/// Processor time per round of `action`, in microseconds.
template <typename Action>
double MicrosecondsOf(int rounds, Action action) {
  const std::clock_t begin = std::clock();
  for (int i = 0; i < rounds; ++i) {
    action();
  }
  constexpr double kMicroseconds = 1e6;
  return static_cast<double>(std::clock() - begin) * kMicroseconds /
         CLOCKS_PER_SEC / rounds;
}

}  // namespace

int main() {
  TimePoint now{Seconds(1000)};
  std::vector<std::string> hosts;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back("front-hall-a-" + std::to_string(i));
  }
  Backpressure state("front-hall-a-0", {}, 1);
  state.SetFleet(hosts, now);
  std::vector<ServerInstance> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back({"i-0123456" + std::to_string(i), 1796269846484});
    state.OnAnswer({servers.back(), 2.5, now}, now);
  }
  size_t sum = 0;
  std::printf("SetFleet, hosts unchanged: %.1f us\n",
              MicrosecondsOf(200, [&] { state.SetFleet(hosts, now); }));
  std::printf("SetFleet, one host added: %.0f us\n", MicrosecondsOf(20, [&] {
                hosts.push_back("new-" + std::to_string(hosts.size()));
                state.SetFleet(hosts, now);
              }));
  std::printf("MaySend, per server: %.2f us\n", MicrosecondsOf(100000, [&] {
                sum += state.MaySend(servers[sum % kServers], now) ? 2U : 1U;
              }));
  GossipReply answer;
  const size_t at_rest = EncodeGossipReply(answer).size();
  answer.limits = state.Since(0, now);
  std::printf("limit records per gossip reply: %zu, bytes each: %.0f\n",
              answer.limits.words.size(),
              static_cast<double>(EncodeGossipReply(answer).size() - at_rest) /
                  static_cast<double>(answer.limits.words.size()));
  return sum == 0 ? 1 : 0;
}
