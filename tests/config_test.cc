#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

#include "filbertrack/config_generation.h"
#include "filbertrack/config_resources.h"

namespace filbertrack {
namespace {

using Json = nlohmann::json;

/// Produces the objects that operators' commands write to the store for a
/// sequence of changes.
class FakeHistory {
 public:
  void Change(const Json& change) {
    ConfigDelta delta;
    const uint64_t generation = m_root.generation + 1;
    delta.record.change_id = "c" + std::to_string(generation);
    delta.record.generation = generation;
    delta.record.previous_delta_key = m_root.delta_key;
    delta.change = change;
    m_resources = MergeResources(m_resources, change);
    m_root.generation = generation;
    m_root.delta_key = ConfigDeltaKey(generation, delta.record.change_id);
    m_root.set_sha256 = ConfigSetHash(m_resources);
    Put(m_root.delta_key, ToJson(delta));
    if (generation % 4 == 0) {
      m_root.snapshot_generation = generation;
      m_root.snapshot_key = ConfigSnapshotKey(generation, "s");
      Put(m_root.snapshot_key, ToJson(ConfigSet{generation, m_resources}));
    }
    Put(std::string(kConfigRootKey), ToJson(m_root));
    m_roots.push_back(m_store.at(std::string(kConfigRootKey)));
  }

  void Put(const std::string& key, const Json& value) {
    m_store[key] = {key, value.dump(), ++m_version};
  }

  std::map<std::string, StoredObject> m_store;
  std::vector<StoredObject> m_roots;
  Json m_resources = Json::object();

 private:
  ConfigRoot m_root;
  uint64_t m_version = 0;
};

/// Follows the configuration as a node does, taking requested objects from
/// `store`. Returns the set in force at the end.
ConfigSet FollowAll(ObjectCache& cache,
                    const std::map<std::string, StoredObject>& store,
                    ConfigSet own) {
  for (int i = 0; i < 100; ++i) {
    FollowStep step = FollowConfig(cache, own);
    if (const auto* need = std::get_if<NeedObject>(&step)) {
      cache.Offer(store.at(need->key));
    } else if (auto* adopt = std::get_if<AdoptSet>(&step)) {
      return std::move(adopt->set);
    } else {
      return own;
    }
  }
  return own;
}

TEST_CASE(
    "property: no sequence of roots makes a node revert to an older "
    "generation") {
  // Guards against reverting a change, such as the removal of a caller's key.
  // Roots reach the node late, twice and out of order, as after a stale read.
  REQUIRE(rc::check("follow", [] {
    FakeHistory history;
    const int changes = *rc::gen::inRange(1, 20);
    for (int i = 0; i < changes; ++i) {
      const std::string name =
          "service/s" + std::to_string(*rc::gen::inRange(0, 4));
      const bool removes = *rc::gen::inRange(0, 4) == 0;
      history.Change(
          {{name, removes ? Json(nullptr) : Json({{"max_in_flight", i + 1}})}});
    }
    ConfigSet own;
    ObjectCache cache;
    for (int i = 0; i < 30; ++i) {
      const uint64_t before = own.generation;
      cache.Offer(history.m_roots[*rc::gen::inRange<size_t>(
          0, history.m_roots.size())]);
      own = FollowAll(cache, history.m_store, own);
      RC_ASSERT(own.generation >= before);
    }
    cache.Offer(history.m_roots.back());
    own = FollowAll(cache, history.m_store, own);
    RC_ASSERT(own.generation == static_cast<uint64_t>(changes));
    RC_ASSERT(own.resources == history.m_resources);
  }));
}

TEST_CASE("a node's cache does not grow with the number of changes") {
  // Guards against unbounded memory growth, which would exhaust the memory of
  // processes after weeks. The objects that a new node needs must stay: the
  // snapshot and the deltas after it.
  FakeHistory history;
  ObjectCache cache;
  ConfigSet own;
  for (int i = 1; i <= 103; ++i) {
    history.Change({{"service/a", {{"max_in_flight", i}}}});
    cache.Offer(history.m_roots.back());
    own = FollowAll(cache, history.m_store, own);
    for (const std::string& key : ObsoleteConfigKeys(cache)) {
      cache.Forget(key);
    }
  }
  CHECK(own.generation == 103);
  CHECK(cache.size() <= 5);
  CHECK(FollowAll(cache, history.m_store, ConfigSet()).generation == 103);
}

TEST_CASE("a set whose hash differs from the hash in the root is rejected") {
  // Guards against adopting a damaged delta: the present configuration must
  // stay in force.
  FakeHistory history;
  history.Change({{"service/a", Json::object()}});
  const std::string key = ConfigDeltaKey(1, "c1");
  Json delta = Json::parse(history.m_store.at(key).value);
  delta["change"]["service/b"] = Json::object();
  history.Put(key, delta);
  ObjectCache cache;
  for (const auto& [name, object] : history.m_store) {
    cache.Offer(object);
  }
  CHECK(
      std::holds_alternative<CorruptConfig>(FollowConfig(cache, ConfigSet())));
}

TEST_CASE(
    "an error in a resource names resource, field, value and allowed values") {
  const auto resources =
      ParseResources({{"service/a", Json::object()},
                      {"workspace/w", {{"key_sha256", "short"}}}});
  REQUIRE(!resources);
  const std::string& message = resources.error().message;
  CHECK(message.find("workspace/w") != std::string::npos);
  CHECK(message.find("key_sha256") != std::string::npos);
  CHECK(message.find("short") != std::string::npos);
  CHECK(message.find("64 hexadecimal") != std::string::npos);
  CHECK(!ParseResources({{"service/a", {{"colour", "red"}}}}));
  CHECK(!ParseResources({{"adapter/a", {{"service", "none"}}}}));
  CHECK(!ParseResources({{"thing/a", Json::object()}}));
}

TEST_CASE("property: no declared set crashes the parser") {
  REQUIRE(rc::check("resources", [] {
    const auto kind = *rc::gen::element<std::string>(
        "service", "workspace", "serving_group", "adapter", "model_version");
    const auto field = *rc::gen::element<std::string>(
        "type", "entitlements", "replicas", "backend_servers", "key_sha256",
        "adapters", "service", "max_in_flight");
    const Json value = *rc::gen::element(
        Json(nullptr), Json(-1), Json(1e300), Json("x"), Json::array({1}),
        Json::array({Json::object()}), Json::object(), Json(true));
    const auto resources = ParseResources({{kind + "/n", {{field, value}}}});
    const bool is_valid =
        resources.has_value() || !resources.error().message.empty();
    RC_ASSERT(is_valid);
  }));
}

}  // namespace
}  // namespace filbertrack
