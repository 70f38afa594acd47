#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "filbertrack/entry_ports.h"

namespace filbertrack {

/// In-memory store that answers calls synchronously and counts the writes.
class InMemoryRecordStore : public RecordStore {
 public:
  void Read(const std::string& name,
            std::function<void(StoreResponse)> done) override {
    const auto found = records.find(name);
    done(found == records.end()
             ? StoreResponse{StoreStatus::kNotFound, {}}
             : StoreResponse{StoreStatus::kOk, found->second});
  }
  void Write(const std::string& name,
             const std::string& value,
             uint64_t expected_version,
             std::function<void(StoreResponse)> done) override {
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

}  // namespace filbertrack
