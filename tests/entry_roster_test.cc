#include <doctest/doctest.h>

#include <map>

#include "filbertrack/entry_roster.h"
#include "in_memory_record_store.h"
#include "run_until.h"

namespace filbertrack {
namespace {

struct StartedRoster {
  StartedRoster(EventLoop& loop,
                InMemoryRecordStore& records,
                const std::string& name)
      : roster(loop,
               {name, "dc", 7},
               {"127.0.0.1", 4},
               {},
               records,
               {[](const std::string&) {},
                [this](const FleetHost& host, const std::string& address) {
                  hosts[host.name] = {host, address};
                },
                [this] { ++listings; }}) {
    roster.Start(MonotonicNow());
  }

  int listings = 0;
  std::map<std::string, std::pair<FleetHost, std::string>> hosts;
  EntryRoster roster;
};

TEST_CASE("a host writes its record once, and not again after a restart") {
  // Guards against needless writes when all hosts of a fleet restart at once,
  // with the addresses that they had, after a power failure.
  EventLoop loop;
  InMemoryRecordStore records;
  const StartedRoster first(loop, records, "a");
  // One write for the shared secret and one for the record.
  CHECK(records.writes == 2);
  const StartedRoster second(loop, records, "b");
  CHECK(records.writes == 3);
  REQUIRE(second.hosts.contains("a"));
  CHECK(second.hosts.at("a").first.data_centre == "dc");
  CHECK(second.hosts.at("a").first.capacity == 7);
  CHECK(second.hosts.at("a").second == "127.0.0.1:4");
  const StartedRoster again(loop, records, "a");
  CHECK(records.writes == 3);
}

TEST_CASE("a record with an earlier address is replaced") {
  EventLoop loop;
  InMemoryRecordStore records;
  const StartedRoster first(loop, records, "a");
  records.records["entry-host-a"].value = "127.0.0.9:9 dc 7";
  const StartedRoster again(loop, records, "a");
  CHECK(records.records["entry-host-a"].value == "127.0.0.1:4 dc 7");
}

}  // namespace
}  // namespace filbertrack
