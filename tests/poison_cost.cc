/// Measures the cost of poison request detection on an entry host whose ledger
/// is full.

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

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

/// Cost of the check of one request that no block applies to.
void MeasureCheck(size_t blocks, size_t parts) {
  PoisonLedger ledger(PoisonPolicy{}, 1);
  for (size_t i = 0; i < blocks; ++i) {
    ledger.Note(Blocked{{}, 3, 0, {std::to_string(100000 + i), "fffffff1"}},
                TimePoint(Seconds(1000)));
  }
  std::vector<PromptPart> request;
  for (size_t i = 0; i < parts; ++i) {
    request.push_back(std::to_string(500000 + i));
  }
  size_t found = 0;
  const double took = MicrosecondsOf([&] {
    if (!ledger.IsEmpty()) {
      found += ledger.FindBlock(request,
                                []() -> const RequestDigest& {
                                  static const RequestDigest digest;
                                  return digest;
                                }) == nullptr
                   ? 0
                   : 1;
    }
  });
  std::printf("check of a request with %zu parts, %zu blocks: %.3f us (%zu)\n",
              parts, blocks, took, found);
}

}  // namespace

int main() {
  for (const size_t parts : {size_t{3}, size_t{64}}) {
    for (const size_t blocks :
         {size_t{0}, size_t{1}, size_t{16}, size_t{256}}) {
      MeasureCheck(blocks, parts);
    }
  }
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
