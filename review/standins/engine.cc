#include "engine.h"

#include <algorithm>
#include <chrono>

#include <nlohmann/json.hpp>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr int kWorkMs = 100;
constexpr int kStepMs = 5;
constexpr int kHeartbeatMs = 1200;

Response Status(int status) {
  Response response;
  response.status = status;
  return response;
}

}  // namespace

Engines::Engines(Store& store,
                 Runs& runs,
                 Record& record,
                 const EngineBounds& bounds)
    : m_store(store), m_runs(runs), m_record(record), m_bounds(bounds) {
  m_stepper = std::thread([this] {
    while (!m_stopping) {
      std::this_thread::sleep_for(std::chrono::milliseconds(kStepMs));
      Step();
    }
  });
}

Engines::~Engines() {
  m_stopping = true;
  m_stepper.join();
  for (auto& [id, runner] : m_runners) {
    runner.server.reset();
  }
}

void Engines::Add(const std::string& host,
                  const std::string& id,
                  const std::string& service,
                  const std::string& zone,
                  const std::string& domain) {
  const std::lock_guard lock(m_mutex);
  Runner& runner = m_runners[id];
  runner.id = id;
  runner.service = service;
  runner.zone = zone;
  runner.domain = domain;
  runner.server = std::make_unique<Server>(
      host, [this, id](const Request& request) { return Handle(id, request); });
  Register(runner);
}

size_t Engines::CountOpen(const std::string& service) {
  const std::lock_guard lock(m_mutex);
  return static_cast<size_t>(std::count_if(
      m_runners.begin(), m_runners.end(), [&service](const auto& row) {
        return row.second.service == service && row.second.state == "open";
      }));
}

std::string Engines::FindMember(const std::string& service,
                                const std::string& other) {
  const std::lock_guard lock(m_mutex);
  std::set<std::string> open;
  for (const auto& [id, runner] : m_runners) {
    if (runner.service == other && runner.state == "open") {
      open.insert(runner.group);
    }
  }
  for (const auto& [id, runner] : m_runners) {
    if (runner.service == service && runner.state == "open" &&
        open.contains(runner.group)) {
      return runner.members.back();
    }
  }
  return "";
}

void Engines::Crash(const std::string& id) {
  Server* server = nullptr;
  {
    const std::lock_guard lock(m_mutex);
    Runner& runner = m_runners[id];
    m_record.Add("crash of " + id + ", a member of " + runner.group + " of " +
                 runner.service);
    runner.is_dead = true;
    runner.group.clear();
    runner.state.clear();
    ++runner.cuts;
    server = runner.server.get();
    After(3 * kHeartbeatMs, [this, id] { m_store.Remove("servers", id); });
  }
  server->Stop();
}

std::vector<std::string> Engines::violations() {
  const std::lock_guard lock(m_mutex);
  return m_violations;
}

void Engines::Register(const Runner& runner) {
  if (runner.is_dead) {
    return;
  }
  Json spec = {{"service", runner.service},
               {"address", runner.server->endpoint().ToString()},
               {"zone", runner.zone},
               {"version", "v1"},
               {"slots", 17},
               {"state", "ready"},
               {"stage", "both"},
               {"domain", runner.domain},
               {"staged", runner.staged},
               {"models", Json::array()},
               {"seq", runner.seq}};
  if (!runner.model.empty()) {
    spec["models"].push_back({{"name", runner.model}, {"version", 1}});
  }
  if (!runner.group.empty()) {
    spec["group"] = {{"name", runner.group},
                     {"epoch", runner.epoch},
                     {"rank", runner.rank},
                     {"state", runner.state}};
  }
  m_store.Put("servers", runner.id, spec.dump());
}

void Engines::After(long delay_ms, std::function<void()> action) {
  m_due.emplace(NowMs() + delay_ms, std::move(action));
}

bool Engines::IsComplete(const Runner& head) {
  return std::all_of(
      head.members.begin(), head.members.end(), [&](const std::string& id) {
        const Runner& member = m_runners[id];
        return member.group == head.group && member.epoch == head.epoch;
      });
}

void Engines::Step() {
  const std::lock_guard lock(m_mutex);
  const long now = NowMs();
  while (!m_due.empty() && m_due.begin()->first <= now) {
    const auto action = m_due.begin()->second;
    m_due.erase(m_due.begin());
    action();
  }
  for (auto& [id, runner] : m_runners) {
    const bool serves = runner.state == "open" || runner.state == "closing";
    if (!serves || IsComplete(runner)) {
      runner.incomplete_since = 0;
      if (runner.state == "closing" && runner.running == 0) {
        runner.state = "ready";
        Register(runner);
      }
      continue;
    }
    if (runner.incomplete_since == 0) {
      runner.incomplete_since = now;
      m_record.Add(id + ", the head of " + runner.group + ", stands still");
    } else if (now - runner.incomplete_since >= m_bounds.stall_ms) {
      runner.state = "broken";
      ++runner.cuts;
      m_record.Add(id + ", the head of " + runner.group + ", is broken");
      Register(runner);
    }
  }
}

Response Engines::Handle(const std::string& id, const Request& request) {
  std::unique_lock lock(m_mutex);
  Runner& runner = m_runners[id];
  const std::string expected = request.Header("X-Expect-Runner");
  if (!expected.empty() && expected != id) {
    Response response = Status(421);
    response.headers.emplace_back("X-Runner-Id", id);
    return response;
  }
  if (request.path == "/report") {
    Response response;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = Json({{"running", runner.running},
                          {"queued", 0},
                          {"busy", runner.state == "joining"},
                          {"seq", runner.seq},
                          {"pace", 1.0}})
                        .dump();
    return response;
  }
  if (request.path == "/health") {
    Response response;
    response.headers.emplace_back("X-Runner-Id", id);
    return response;
  }
  if (request.path == "/order") {
    return Order(runner, request.body);
  }
  lock.unlock();
  return Run(runner, request);
}

void Engines::CheckJoin(const Runner& runner,
                        const std::string& group,
                        uint64_t epoch) {
  if (runner.group.empty() ||
      (runner.group == group && runner.epoch == epoch)) {
    return;
  }
  for (const auto& [id, head] : m_runners) {
    const bool is_head = head.service == runner.service && head.rank == 0 &&
                         head.group == runner.group &&
                         head.epoch == runner.epoch;
    if (is_head && (head.state == "open" || head.state == "closing")) {
      m_violations.push_back("TWO: " + runner.id + " takes a join of " + group +
                             " while " + id + ", the head of " + head.group +
                             " of " + head.service + ", is " + head.state);
      m_record.Add(m_violations.back());
    }
  }
}

Response Engines::Join(Runner& runner, const std::string& body) {
  const Json order = Json::parse(body, nullptr, false);
  const std::string group = order.value("group", "");
  const auto epoch = order.value("epoch", uint64_t{0});
  const auto members = order.value("members", std::vector<std::string>());
  const bool is_same = runner.group == group && runner.epoch == epoch;
  if (epoch < runner.newest_epoch || (is_same && runner.members != members)) {
    return Status(412);
  }
  if (is_same) {
    return Status(200);
  }
  CheckJoin(runner, group, epoch);
  const std::string model = order.value("model", "");
  const bool is_staged = std::find(runner.staged.begin(), runner.staged.end(),
                                   model) != runner.staged.end();
  const long delay = runner.model == model ? m_bounds.again_ms
                     : is_staged           ? m_bounds.warm_ms
                                           : m_bounds.load_ms;
  runner.newest_epoch = epoch;
  runner.group = group;
  runner.epoch = epoch;
  runner.members = members;
  runner.rank = static_cast<int>(
      std::find(members.begin(), members.end(), runner.id) - members.begin());
  runner.state = "joining";
  ++runner.cuts;
  ++runner.seq;
  Register(runner);
  After(delay, [this, &runner, group, epoch, model] {
    if (runner.group == group && runner.epoch == epoch &&
        runner.state == "joining") {
      runner.state = "ready";
      runner.model = model;
      runner.staged = {model};
      runner.was_ready.insert({group, epoch});
      Register(runner);
    }
  });
  return Status(202);
}

Response Engines::Order(Runner& runner, const std::string& body) {
  const Json order = Json::parse(body, nullptr, false);
  const std::string operation = order.value("operation", "");
  m_record.Add("order to " + runner.id + " " + body);
  if (operation == "join") {
    return Join(runner, body);
  }
  if (operation == "stage") {
    const std::string model = order.value("model", "");
    ++runner.seq;
    After(m_bounds.load_ms, [this, &runner, model] {
      runner.staged = {model};
      Register(runner);
    });
    return Status(202);
  }
  if (order.value("group", "") != runner.group ||
      order.value("epoch", uint64_t{0}) != runner.epoch) {
    return Status(409);
  }
  ++runner.seq;
  if (operation == "open" && runner.rank == 0 && runner.state == "ready") {
    const uint64_t epoch = runner.epoch;
    After(m_bounds.form_ms, [this, &runner, epoch] {
      if (runner.epoch == epoch && runner.state == "ready") {
        runner.state = "open";
        Register(runner);
      }
    });
    return Status(202);
  }
  if (operation == "close" && runner.state == "open") {
    const bool cancels = order.value("closeMode", "") == "cancel";
    runner.cuts += cancels ? 1 : 0;
    runner.state = cancels || runner.running == 0 ? "ready" : "closing";
  } else if (operation == "leave") {
    runner.group.clear();
    runner.state.clear();
    runner.members.clear();
    ++runner.cuts;
  } else {
    return Status(409);
  }
  Register(runner);
  return Status(202);
}

Response Engines::Run(Runner& runner, const Request& request) {
  Response response;
  const std::string id = request.Header("X-Attempt-Id");
  response.headers.emplace_back("X-Attempt-Id", id);
  std::unique_lock lock(m_mutex);
  if (runner.state != "open") {
    response.status = runner.rank == 0 ? 503 : 421;
    response.headers.emplace_back("X-Not-Executed", "1");
    return response;
  }
  const int cuts = runner.cuts;
  ++runner.running;
  size_t run = 0;
  for (long worked = 0, last = NowMs(); worked < kWorkMs;) {
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds(kStepMs));
    lock.lock();
    const bool is_cut = runner.cuts != cuts || m_stopping;
    if (is_cut) {
      --runner.running;
      response.reset = true;
      return response;
    }
    const long now = NowMs();
    // A group that lacks a member stands still.
    if (IsComplete(runner)) {
      if (worked == 0) {
        run = m_runs.Begin(runner.id, id, request.path);
        for (const std::string& member : runner.members) {
          if (runner.members.size() != m_bounds.size ||
              !m_runners[member].was_ready.contains(
                  {runner.group, runner.epoch})) {
            m_violations.push_back("PARTIAL: " + id + " runs in " +
                                   runner.group + " without " + member);
            m_record.Add(m_violations.back());
          }
        }
      }
      worked += now - last;
    }
    last = now;
  }
  --runner.running;
  m_runs.Finish(run);
  response.headers.emplace_back("X-Runner-Seal", "3e1b." + id);
  response.headers.emplace_back("Content-Type", "text/event-stream");
  for (int event = 1; event <= 4; ++event) {
    response.body += "id: " + std::to_string(event) + "\ndata: part " +
                     std::to_string(event) + " of " + id + "\n\n";
  }
  return response;
}

}  // namespace review
