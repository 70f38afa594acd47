#include <doctest/doctest.h>

#include "filbertrack/entry_outbox.h"

namespace filbertrack {
namespace {

TEST_CASE("three thousand orders leave in batches, in their order") {
  // The holder orders every host of a fleet at its start. Were all sent in one
  // turn of its loop, its lease would lapse meanwhile.
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
