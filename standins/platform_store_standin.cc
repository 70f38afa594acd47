#include "platform_store_standin.h"

#include <algorithm>
#include <initializer_list>
#include <utility>

namespace filbertrack {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kPrefix = "/objects/";
constexpr int kUnavailable = 503;

/// U+00FF, a placeholder for the byte 0xFF: the JSON library does not write
/// invalid UTF-8.
constexpr std::string_view kInvalidBytePlaceholder = "\xC3\xBF";

std::string Dump(const Json& value) {
  std::string text = value.dump();
  size_t at = text.find(kInvalidBytePlaceholder);
  while (at != std::string::npos) {
    text.erase(at, 1);
    text[at] = '\xFF';
    at = text.find(kInvalidBytePlaceholder, at);
  }
  return text;
}

/// The members of an object in the order in which they are returned, with
/// `values` already in JSON.
std::string JoinObject(
    std::initializer_list<std::pair<const char*, std::string>> members) {
  std::string text;
  for (const auto& [name, value] : members) {
    text += (text.empty() ? "{\"" : ",\"") + std::string(name) + "\":" + value;
  }
  return text + "}";
}

uint64_t ToNumber(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

PlatformStoreStandin::PlatformStoreStandin(EventLoop& loop, size_t page_size)
    : m_loop(loop),
      m_page_size(page_size),
      m_server(loop,
               {},
               [this](const Exchange& exchange) { Receive(exchange); }),
      m_second_server(loop, {}, [this](const Exchange& exchange) {
        if (m_faults.refuses_second) {
          ++m_calls;
          exchange->Reply(kUnavailable, {}, "");
        } else {
          Receive(exchange);
        }
      }) {
  m_address = m_server.Listen({"127.0.0.1", 0}).value();
  m_second_address = m_second_server.Listen({"127.0.0.1", 0}).value();
}

PlatformStoreStandin::~PlatformStoreStandin() {
  *m_alive = false;
}

void PlatformStoreStandin::Receive(const Exchange& exchange) {
  ++m_calls;
  if (m_faults.silent) {
    m_unanswered.push_back(exchange);
    return;
  }
  if (m_faults.refuse_with != 0) {
    exchange->Reply(m_faults.refuse_with, {}, "");
    return;
  }
  if (m_faults.delay > Duration(0)) {
    m_loop.Call(m_faults.delay, [this, exchange, alive = m_alive] {
      if (*alive) {
        Handle(exchange);
      }
    });
    return;
  }
  Handle(exchange);
}

void PlatformStoreStandin::Handle(const Exchange& exchange) {
  std::string path(exchange->path());
  if (!path.starts_with(kPrefix)) {
    exchange->Reply(404, {}, "");
    return;
  }
  path.erase(0, kPrefix.size());
  const size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : path.substr(slash + 1);
  if (exchange->method() != HttpMethod::kGet) {
    Write(*exchange, kind, name);
    return;
  }
  if (!exchange->Query("watch").empty()) {
    Watch(exchange, kind);
    return;
  }
  if (name.empty()) {
    List(*exchange, kind);
    return;
  }
  const auto found = m_objects[kind].find(name);
  if (found == m_objects[kind].end()) {
    exchange->Reply(404, {}, "{}");
  } else {
    exchange->Reply(200, {}, ToText(found->second));
  }
}

std::string PlatformStoreStandin::ToText(const Object& object) {
  const Json metadata = {{"name", object.name},
                         {"rev", object.revision},
                         {"created", object.revision},
                         {"finalizers", Json::array()},
                         {"deleting", false}};
  return JoinObject({{"metadata", metadata.dump()},
                     {"spec", object.spec},
                     {"status", "null"}});
}

void PlatformStoreStandin::List(HttpExchange& exchange,
                                const std::string& kind) {
  const auto& objects = m_objects[kind];
  const std::string after = exchange.Query("after");
  std::string items;
  auto it = after.empty() ? objects.begin() : objects.upper_bound(after);
  for (size_t count = 0; it != objects.end() && count < m_page_size;
       ++it, ++count) {
    items += (items.empty() ? "" : ",") + ToText(it->second);
  }
  exchange.Reply(
      200, {},
      JoinObject({{"items", "[" + items + "]"},
                  {"hasMore", it != objects.end() ? "true" : "false"},
                  {"asOf", std::to_string(m_revision)}}));
  ++m_pages;
  if (m_after_page) {
    m_after_page(m_pages);
  }
}

bool PlatformStoreStandin::ReplyToWatch(HttpExchange& exchange,
                                        const std::string& kind,
                                        uint64_t since,
                                        bool reply_if_empty) {
  std::string events;
  for (const Event& event : m_history) {
    if (event.revision > since && event.kind == kind) {
      events += (events.empty() ? "" : ",") +
                JoinObject({{"object", ToText(event.object)},
                            {"deleted", event.deleted ? "true" : "false"}});
    }
  }
  if (events.empty() && !reply_if_empty) {
    return false;
  }
  exchange.Reply(200, {},
                 JoinObject({{"events", "[" + events + "]"},
                             {"asOf", std::to_string(m_revision)}}));
  return true;
}

void PlatformStoreStandin::Watch(const Exchange& exchange,
                                 const std::string& kind) {
  const uint64_t since = ToNumber(exchange->Query("watch"));
  if (since < m_compacted_revision) {
    exchange->Reply(410, {}, "{}");
    return;
  }
  if (ReplyToWatch(*exchange, kind, since, false)) {
    return;
  }
  auto watch = std::make_unique<PendingWatch>();
  watch->exchange = exchange;
  watch->kind = kind;
  watch->since = since;
  PendingWatch* self = watch.get();
  watch->timer = m_loop.After(
      Milliseconds(static_cast<int64_t>(ToNumber(exchange->Query("waitMs")))),
      [this, self] {
        ReplyToWatch(*self->exchange, self->kind, self->since, true);
        std::erase_if(m_pending_watches, [self](const auto& pending) {
          return pending.get() == self;
        });
      });
  m_pending_watches.push_back(std::move(watch));
}

void PlatformStoreStandin::NotifyWatches() {
  std::erase_if(m_pending_watches, [this](const auto& watch) {
    return !watch->exchange->IsOpen() ||
           ReplyToWatch(*watch->exchange, watch->kind, watch->since, false);
  });
}

void PlatformStoreStandin::PutText(const std::string& kind,
                                   const std::string& name,
                                   const std::string& spec) {
  const Object object{name, ++m_revision, spec};
  m_objects[kind][name] = object;
  m_history.push_back({m_revision, kind, object, false});
  NotifyWatches();
}

void PlatformStoreStandin::Write(HttpExchange& exchange,
                                 const std::string& kind,
                                 const std::string& name) {
  const Json body = Json::parse(exchange.body(), nullptr, false);
  if (!body.is_object() || !body.contains("metadata")) {
    exchange.Reply(400, {}, "{}");
    return;
  }
  const Json& meta = body["metadata"];
  const bool creates = exchange.method() == HttpMethod::kPost;
  const std::string target = creates ? meta.value("name", "") : name;
  const auto found = m_objects[kind].find(target);
  const bool exists = found != m_objects[kind].end();
  if (!creates && !exists) {
    exchange.Reply(404, {}, "{}");
    return;
  }
  const bool stale =
      exists && meta.contains("rev") && meta["rev"] != found->second.revision;
  if ((creates && exists) || stale) {
    exchange.Reply(409, {}, ToText(found->second));
    return;
  }
  PutText(kind, target, body.value("spec", Json()).dump());
  if (m_faults.lost_writes > 0) {
    --m_faults.lost_writes;
    exchange.Abort();
    return;
  }
  exchange.Reply(200, {}, ToText(m_objects[kind][target]));
}

void PlatformStoreStandin::Put(const std::string& kind,
                               const std::string& name,
                               const Json& spec) {
  PutText(kind, name, Dump(spec));
}

void PlatformStoreStandin::Remove(const std::string& kind,
                                  const std::string& name) {
  const auto found = m_objects[kind].find(name);
  if (found == m_objects[kind].end()) {
    return;
  }
  ++m_revision;
  m_history.push_back({m_revision, kind, found->second, true});
  m_objects[kind].erase(found);
  NotifyWatches();
}

Json PlatformStoreStandin::Get(const std::string& kind,
                               const std::string& name) const {
  const auto objects = m_objects.find(kind);
  if (objects == m_objects.end() || !objects->second.contains(name)) {
    return nullptr;
  }
  return Json::parse(objects->second.at(name).spec, nullptr, false);
}

void PlatformStoreStandin::Compact() {
  m_compacted_revision = ++m_revision;
  m_history.clear();
  for (const auto& watch : m_pending_watches) {
    watch->exchange->Abort();
  }
  m_pending_watches.clear();
}

}  // namespace filbertrack
