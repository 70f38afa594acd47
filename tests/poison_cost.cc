/// Measures the cost of poison request detection on an entry host whose ledger
/// is full.

#include <chrono>
#include <cstdio>
#include <string>

#include "filbertrack/gossip_message.h"
#include "filbertrack/poison_ledger.h"

namespace {

using namespace filbertrack;

constexpr int kRounds = 2000;
constexpr int kServers = 80;
constexpr int kSlots = 13;

template <typename Action>
double MicrosecondsOf(Action action) {
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    action();
  }
  const std::chrono::duration<double, std::micro> took =
      std::chrono::steady_clock::now() - begin;
  return took.count() / kRounds;
}

}  // namespace

int main() {
  const TimePoint now{Seconds(1000)};
  PoisonLedger ledger(PoisonPolicy{}, 1);
  int request = 0;
  for (int server = 0; server < kServers; ++server) {
    for (int slot = 0; slot < kSlots; ++slot) {
      const std::string body = std::to_string(++request);
      ledger.Note(
          EndedDuringRequest{{"i-0123456789", 1796269846484},
                             DigestRequest({"POST", "h", "/x", "w", body}),
                             EndProgress::kAnswering},
          now);
      ledger.Note(
          EndedDuringRequest{{"s" + std::to_string(server), 1796269846484},
                             DigestRequest({"POST", "h", "/x", "w", body}),
                             EndProgress::kAnswering},
          now);
    }
  }
  const std::string body(2000, 'x');
  size_t bytes = 0;
  std::printf("ends in the ledger: %zu\n", ledger.CountEnds());
  std::printf("digest of 2,000 bytes: %.2f us\n", MicrosecondsOf([&] {
                bytes += DigestRequest({"POST", "h", "/x", "w", body}).size();
              }));
  std::printf(
      "update of blocks, twelve times a second: %.1f us\n",
      MicrosecondsOf([&] { bytes += ledger.UpdateBlocks(now).size(); }));
  const uint64_t known = ledger.revision() - 1;
  std::printf("reply with one new fact: %.1f us\n", MicrosecondsOf([&] {
                bytes += ledger.Since(known, now).facts.size();
              }));
  GossipReply rest;
  GossipReply full;
  full.poison = ledger.Since(0, now);
  const size_t at_rest = EncodeGossipReply(rest).size();
  const size_t with_facts = EncodeGossipReply(full).size();
  std::printf("one fact in a message: %.1f bytes\n",
              static_cast<double>(with_facts - at_rest) /
                  static_cast<double>(full.poison.facts.size()));
  return bytes == 0 ? 1 : 0;
}
