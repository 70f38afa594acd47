#include <doctest/doctest.h>

#include "filbertrack/entry_outbox.h"

namespace filbertrack {
namespace {

TEST_CASE("three thousand orders are sent in batches, first in, first out") {
  // After a start of the fleet the lease holder sends an order to every host.
  // If all were sent in one iteration of the event loop, the lease would expire
  // before it could be renewed.
  EntryOutbox outbox;
  for (int i = 0; i < 3000; ++i) {
    outbox.Push("h" + std::to_string(i), StageModel{"h", "m"});
  }
  int sent = 0;
  while (!outbox.empty()) {
    const auto batch = outbox.TakeBatch();
    REQUIRE_FALSE(batch.empty());
    REQUIRE(batch.size() <= EntryOutbox::kMaxInBatch);
    for (const QueuedOrder& queued : batch) {
      REQUIRE(queued.host == "h" + std::to_string(sent));
      ++sent;
    }
  }
  CHECK(sent == 3000);
  CHECK(outbox.TakeBatch().empty());
}

TEST_CASE("orders of a lost lease are not sent under the next one") {
  EntryOutbox outbox;
  outbox.Push("h", StageModel{"h", "m"});
  outbox.Clear();
  CHECK(outbox.empty());
}

}  // namespace
}  // namespace filbertrack
