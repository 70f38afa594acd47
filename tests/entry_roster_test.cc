#include <doctest/doctest.h>

#include <map>

#include "filbertrack/entry_roster.h"
#include "run_until.h"

namespace filbertrack {
namespace {

/// Records of a store that answers at once, and the calls that it got.
class CountedRecords : public RecordStore {
 public:
  void Read(const std::string& name,
            std::function<void(StoreAnswer)> done) override {
    const auto found = records.find(name);
    done(found == records.end() ? StoreAnswer{StoreStatus::kNotFound, {}}
                                : StoreAnswer{StoreStatus::kOk, found->second});
  }
  void Write(const std::string& name,
             const std::string& value,
             uint64_t expected_version,
             std::function<void(StoreAnswer)> done) override {
    ++writes;
    StoredObject& record = records[name];
    if (record.version != expected_version) {
      done({StoreStatus::kConflict, record});
      return;
    }
    record = {name, value, record.version + 1};
    done({StoreStatus::kOk, record});
  }
  void ReadAll(const std::string& prefix,
               std::function<void(StoreStatus, std::vector<StoredObject>)> done)
      override {
    std::vector<StoredObject> found;
    for (const auto& [name, record] : records) {
      if (name.starts_with(prefix)) {
        found.push_back(record);
      }
    }
    done(StoreStatus::kOk, found);
  }

  std::map<std::string, StoredObject> records;
  int writes = 0;
};

struct Started {
  Started(EventLoop& loop, CountedRecords& records, const std::string& name)
      : roster(loop,
               {name, "dc", 7},
               {"127.0.0.1", 4},
               {},
               records,
               {[](const std::string&) {},
                [this](const FleetHost& host, const std::string& address) {
                  heard[host.name] = {host, address};
                },
                [this] { ++listings; }}) {
    roster.Start(MonotonicNow());
  }

  int listings = 0;
  std::map<std::string, std::pair<FleetHost, std::string>> heard;
  EntryRoster roster;
};

TEST_CASE("a host writes its record once, and none when it starts again") {
  // All hosts of a fleet lose power and start at the addresses that they had.
  EventLoop loop;
  CountedRecords records;
  const Started first(loop, records, "a");
  // The peers' secret, and the record.
  CHECK(records.writes == 2);
  const Started second(loop, records, "b");
  CHECK(records.writes == 3);
  REQUIRE(second.heard.contains("a"));
  CHECK(second.heard.at("a").first.data_centre == "dc");
  CHECK(second.heard.at("a").first.capacity == 7);
  CHECK(second.heard.at("a").second == "127.0.0.1:4");
  const Started again(loop, records, "a");
  CHECK(records.writes == 3);
}

TEST_CASE("a record of an earlier address is replaced") {
  EventLoop loop;
  CountedRecords records;
  const Started first(loop, records, "a");
  records.records["entry-host-a"].value = "127.0.0.9:9 dc 7";
  const Started again(loop, records, "a");
  CHECK(records.records["entry-host-a"].value == "127.0.0.1:4 dc 7");
}

}  // namespace
}  // namespace filbertrack
