#include <doctest/doctest.h>

#include <deque>
#include <map>

#include "filbertrack/entry_roster.h"
#include "in_memory_record_store.h"
#include "run_until.h"

namespace filbertrack {
namespace {

/// Executes the calls in their order, but only when Deliver() is called.
class QueuedRecordStore : public RecordStore {
 public:
  void Read(const std::string& name,
            std::function<void(StoreResponse)> done) override {
    m_calls.emplace_back(
        [this, name, done = std::move(done)] { records.Read(name, done); });
  }
  void Write(const std::string& name,
             const std::string& value,
             uint64_t expected_version,
             std::function<void(StoreResponse)> done) override {
    m_calls.emplace_back(
        [this, name, value, expected_version, done = std::move(done)] {
          records.Write(name, value, expected_version, done);
        });
  }
  void ReadAll(const std::string& prefix,
               std::function<void(StoreStatus, std::vector<StoredObject>)> done)
      override {
    ++listings;
    m_calls.emplace_back([this, prefix, done = std::move(done)] {
      records.ReadAll(prefix, done);
    });
  }

  /// Delivers all calls, also those that the callbacks make.
  void Deliver() {
    while (!m_calls.empty()) {
      const auto call = std::move(m_calls.front());
      m_calls.pop_front();
      call();
    }
  }

  InMemoryRecordStore records;
  int listings = 0;

 private:
  std::deque<std::function<void()>> m_calls;
};

struct StartedRoster {
  StartedRoster(EventLoop& loop, RecordStore& records, const std::string& name)
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

TEST_CASE("hosts that list before any of them has written find each other") {
  // Guards against entry hosts without peers until the second listing, which
  // reject requests that a peer could serve.
  EventLoop loop;
  QueuedRecordStore records;
  const StartedRoster first(loop, records, "a");
  const StartedRoster second(loop, records, "b");
  const StartedRoster third(loop, records, "c");
  records.Deliver();
  CHECK(third.hosts.contains("a"));
  CHECK(third.hosts.contains("b"));
  CHECK(second.hosts.contains("a"));
}

TEST_CASE("a host that found others when it started lists them once") {
  // Guards against a further listing by each host of a large fleet.
  EventLoop loop;
  QueuedRecordStore records;
  const StartedRoster first(loop, records, "a");
  records.Deliver();
  records.listings = 0;
  const StartedRoster second(loop, records, "b");
  records.Deliver();
  CHECK(records.listings == 1);
}

}  // namespace
}  // namespace filbertrack
