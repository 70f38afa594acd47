/// The cases of review 2 that are scripts: `cases NAME FOLDER`. See the
/// claim.txt of each case.

#include "engine.h"

namespace {

using namespace rig;

std::string Quote(std::string text) {
  for (size_t at = 0; (at = text.find('\n', at)) != std::string::npos;) {
    text.replace(at, 1, "\\n");
  }
  return text;
}

// Case order: a token text ends a stream.

constexpr int kStreamsOfAKind = 6;
constexpr int kEvents = 8;

std::vector<std::string> TextsOf(const std::string& request_id, bool trouble) {
  std::vector<std::string> texts;
  for (int i = 1; i <= kEvents; ++i) {
    texts.push_back("token text " + std::to_string(i));
  }
  if (trouble && request_id.starts_with("mark")) {
    texts[3] = "[DONE]";
  } else if (trouble && request_id.starts_with("empty")) {
    texts.back() = "";
  }
  return texts;
}

[[noreturn]] void RunOrder(const Case& test) {
  Store store(test.record);
  std::vector<std::unique_ptr<EngineRunner>> runners;
  for (int i = 0; i < 2 * kGroupSize; ++i) {
    runners.push_back(std::make_unique<EngineRunner>(
        test.record, store, "i-" + std::to_string(i), "llm",
        "127.0.2." + std::to_string(10 + i),
        [&test](const std::string& id) { return TextsOf(id, test.trouble); }));
  }
  store.Put("config", "main",
            ConfigOf(7,
                     Json::array({RouteOf("drafts", "/drafts/", "streaming",
                                          "llm", 6000, 2)}),
                     Json::array({EngineService("llm")}), {"key-1"}));
  for (const auto& runner : runners) {
    runner->Register();
  }
  const auto hosts = test.StartHosts(2, store.Address());
  int open = 0;
  for (const double end = Now() + 20; open < 2 && Now() < end; Sleep(0.1)) {
    open = 0;
    for (const auto& runner : runners) {
      open += runner->IsOpen() ? 1 : 0;
    }
  }
  if (open == 0) {
    test.Fail("no group opens");
  }
  Sleep(1);
  int broken = 0;
  for (const std::string kind : {"plain", "mark", "empty"}) {
    for (int i = 0; i < kStreamsOfAKind; ++i) {
      Call call;
      call.target = "/drafts/letter";
      call.id = kind + "-" + std::to_string(i);
      call.deadline_ms = 6000;
      call.more = {{"X-Model", kModel},
                   {"X-Token-Usage", "700,80"},
                   {"X-Prompt-Prefix",
                    "5c1e07a2:40,e4402b7d" + std::to_string(i) + ":660"}};
      Client client(*hosts[i % hosts.size()]);
      client.Send(Head(call) + "Content-Length: 0\r\n\r\n");
      const auto answer = client.Read(7);
      std::string made;
      for (const std::string& text : TextsOf(call.id, test.trouble)) {
        const auto number = std::count(made.begin(), made.end(), '\n') / 3 + 1;
        made += "id: " + std::to_string(number) + "\ndata: " + text + "\n\n";
      }
      const bool complete = answer && answer->complete;
      const bool wrong =
          complete && answer->Status() == 200 && answer->body != made;
      broken += wrong ? 1 : 0;
      test.record.Line(
          "client gets " + call.id + ": " +
          (answer ? std::to_string(answer->Status()) : "no answer") +
          (complete ? ", complete, " : ", not complete, ") +
          std::to_string(answer ? answer->body.size() : 0) + " B of " +
          std::to_string(made.size()) + " B that the runner made" +
          (wrong
               ? "; BROKEN: complete without all pieces: " + Quote(answer->body)
               : ""));
    }
  }
  test.record.Line(
      "streams that end as complete without all of their pieces: " +
      std::to_string(broken));
  test.End(broken > 0 ? kBroken : kHeld);
}

// Case memory: large requests are received without a bound.

constexpr int kRounds = 3;
constexpr int kUploads = 72;
constexpr size_t kUploadBytes = 4 * 1024 * 1024;
constexpr size_t kUsualBytes = 600;
constexpr double kUploadS = 2.8;
constexpr size_t kUploadParts = 25;
/// Pause of the platform before it starts a process again.
constexpr double kRestartS = 0.5;

/// The platform on one machine: kills the process when it exceeds memoryMb and
/// starts it again.
struct MemoryWatch {
  explicit MemoryWatch(EntryHost& watched) : host(watched) {
    thread = std::thread([this] {
      for (; !stop; Sleep(0.01)) {
        const int memory = host.MemoryMb();
        peak = std::max<int>(peak, memory);
        if (memory > kMemoryMb) {
          host.Kill("its process has " + std::to_string(memory) +
                    " MB, memoryMb is " + std::to_string(kMemoryMb));
          ++kills;
          Sleep(kRestartS);
          host.Start();
        }
      }
    });
  }

  EntryHost& host;
  std::atomic<bool> stop{false};
  std::atomic<int> peak{0};
  std::atomic<int> kills{0};
  std::thread thread;
};

void Upload(const Case& test,
            const EntryHost& host,
            const std::string& body,
            const std::string& id) {
  Call call;
  call.target = "/confirm/receipt";
  call.id = id;
  call.deadline_ms = 4000;
  Client client(host);
  const size_t size = body.size();
  bool open = client.Send(
      Head(call) + "Content-Length: " + std::to_string(size) + "\r\n\r\n");
  for (size_t part = 0; part < kUploadParts && open; ++part) {
    const size_t from = size * part / kUploadParts;
    open = client.Send(std::string_view(body).substr(
        from, size * (part + 1) / kUploadParts - from));
    Sleep(kUploadS / kUploadParts);
  }
  const auto answer = open ? client.Read(4) : std::nullopt;
  test.record.Line(
      "client gets " + id + " (" + std::to_string(size) + " B): " +
      (answer ? std::to_string(answer->Status()) : "the connection ends"));
}

[[noreturn]] void RunMemory(const Case& test) {
  Store store(test.record);
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < 3; ++i) {
    runners.push_back(
        std::make_unique<Runner>(test.record, store, "i-" + std::to_string(i),
                                 "api", "127.0.2." + std::to_string(10 + i)));
    runners.back()->work_s = 0.06;
    runners.back()->Register();
  }
  store.Put("config", "main",
            ConfigOf(7,
                     Json::array({RouteOf("confirm", "/confirm/", "unsafe",
                                          "api", 800, 1)}),
                     Json::array({PlainService("api")}), {"key-1"}));
  const auto hosts = test.StartHosts(2, store.Address());
  std::vector<std::unique_ptr<MemoryWatch>> watches;
  for (const auto& host : hosts) {
    watches.push_back(std::make_unique<MemoryWatch>(*host));
  }
  const std::string body(test.trouble ? kUploadBytes : kUsualBytes, 'x');
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::thread> uploads;
    for (const auto& host : hosts) {
      for (int i = 0; i < kUploads; ++i) {
        uploads.emplace_back(
            [&, id = host->name() + "-round-" + std::to_string(round) + "-" +
                     std::to_string(i)] { Upload(test, *host, body, id); });
      }
    }
    for (std::thread& upload : uploads) {
      upload.join();
    }
    Sleep(kRestartS);
    for (const auto& host : hosts) {
      if (!host->WaitUntilReady()) {
        test.Fail(host->name() + " does not become ready again");
      }
    }
    Sleep(2);
  }
  int machines = 0;
  for (const auto& watch : watches) {
    watch->stop = true;
    watch->thread.join();
    machines += watch->kills >= kRounds ? 1 : 0;
    test.record.Line(watch->host.name() + ": most memory " +
                     std::to_string(watch->peak) + " MB, its process ended " +
                     std::to_string(watch->kills) + " times");
  }
  test.record.Line("machines whose processes ended three times: " +
                   std::to_string(machines));
  test.End(machines >= 2 ? kBroken : kHeld);
}

// Case promise: a runner's 503 for a request that it has run.

constexpr int kRunners = 7;
/// One of the seven runners is at fault (share 0.14) and fails 0.45 of its
/// requests.
constexpr double kFailing = 0.45;
constexpr int kCallers = 6;
constexpr double kPromiseS = 12;

/// Runs all its requests, and fails some of them with 503 after that. The
/// response doesn't have X-Not-Executed.
class GreyRunner : public Runner {
 public:
  using Runner::Runner;

 protected:
  bool Serve(int fd, const Message& request) override {
    m_failures += kFailing;
    if (m_failures < 1) {
      return Runner::Serve(fd, request);
    }
    m_failures -= 1;
    const std::string request_id = Find(request.headers, "X-Attempt-Id");
    const std::string body = "failed after the run of " + request_id;
    Note(request, body);
    Sleep(work_s);
    m_record.Line("runner " + m_id + " has run " + request_id +
                  " and answers 503 without X-Not-Executed");
    return SendAll(fd, Response(503,
                                {{"X-Attempt-Id", request_id},
                                 {"X-Runner-Seal", "seal." + m_id}},
                                body));
  }

 private:
  std::atomic<double> m_failures{0};
};

[[noreturn]] void RunPromise(const Case& test) {
  Store store(test.record);
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < kRunners; ++i) {
    const std::string id = "i-" + std::to_string(i);
    const std::string ip = "127.0.2." + std::to_string(10 + i);
    if (i == 0 && test.trouble) {
      runners.push_back(
          std::make_unique<GreyRunner>(test.record, store, id, "api", ip));
    } else {
      runners.push_back(
          std::make_unique<Runner>(test.record, store, id, "api", ip));
    }
    runners.back()->work_s = 0.06;
    runners.back()->Register();
  }
  store.Put("config", "main",
            ConfigOf(7,
                     Json::array({RouteOf("confirm", "/confirm/", "unsafe",
                                          "api", 800, 1)}),
                     Json::array({PlainService("api")}), {"key-1"}));
  const auto hosts = test.StartHosts(2, store.Address());
  std::atomic<int> broken{0};
  std::atomic<int> sent{0};
  std::vector<std::thread> threads;
  const double end = Now() + kPromiseS;
  for (int i = 0; i < kCallers; ++i) {
    threads.emplace_back([&, i] {
      std::unique_ptr<Client> client;
      for (int number = 0; Now() < end; ++number) {
        if (client == nullptr) {
          client = std::make_unique<Client>(*hosts[i % hosts.size()]);
        }
        Call call;
        call.target = "/confirm/receipt";
        call.id = "confirm-" + std::to_string(i) + "-" + std::to_string(number);
        client->Send(Head(call) + "Content-Length: 0\r\n\r\n");
        const auto answer = client->Read(2);
        ++sent;
        bool ran = false;
        for (const auto& runner : runners) {
          ran = ran || runner->Runs().contains(call.id);
        }
        const int status = answer ? answer->Status() : 0;
        const bool refused =
            status == 503 || status == 429 || status == 408 || status == 421;
        broken += refused && ran ? 1 : 0;
        test.record.Line("client gets " + call.id + ": " +
                         std::to_string(status) +
                         (refused && ran ? "; REFUSED: it has run" : ""));
        if (!answer) {
          client.reset();
        }
        Sleep(0.02);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  test.record.Line("unsafe requests sent " + std::to_string(sent) +
                   ", refused although they have run " +
                   std::to_string(broken));
  test.End(broken > 0 ? kBroken : kHeld);
}

// Case silent: open connections to the store go silent.

[[noreturn]] void RunSilent(const Case& test) {
  Store store(test.record);
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < 2; ++i) {
    runners.push_back(
        std::make_unique<Runner>(test.record, store, "i-" + std::to_string(i),
                                 "api", "127.0.2." + std::to_string(10 + i)));
    runners.back()->work_s = 0.005;
    runners.back()->Register();
  }
  const Json routes =
      Json::array({RouteOf("lookup", "/lookup/", "safe", "api", 800, 2)});
  const Json services = Json::array({PlainService("api")});
  store.Put("config", "main", ConfigOf(7, routes, services, {"key-1"}));
  const auto hosts = test.StartHosts(3, store.Address());
  Sleep(8);
  std::atomic<bool> stop{false};
  struct Sent {
    double at;
    std::string id;
    int status;
  };
  std::mutex mutex;
  std::vector<Sent> sent;
  std::vector<std::thread> threads;
  for (size_t i = 0; i < hosts.size(); ++i) {
    threads.emplace_back([&, i] {
      std::unique_ptr<Client> client;
      for (int number = 0; !stop; ++number) {
        if (client == nullptr) {
          client = std::make_unique<Client>(*hosts[i]);
        }
        Call call;
        call.method = "GET";
        call.target = "/lookup/donor";
        call.id = hosts[i]->name() + "-" + std::to_string(number);
        const double at = Now();
        client->Send(Head(call) + "\r\n");
        const auto answer = client->Read(2);
        if (!answer) {
          client.reset();
        }
        const std::lock_guard lock(mutex);
        sent.push_back({at, call.id, answer ? answer->Status() : 0});
        Sleep(0.03);
      }
    });
  }
  // A version that adds a key; then, 50 ms later, the connections go silent.
  store.Put("config", "main",
            ConfigOf(8, routes, services, {"key-1", "key-2"}));
  Sleep(0.05);
  double silent_at = Now();
  if (test.trouble) {
    store.SilenceOpenConnections();
    silent_at = Now();
    test.record.Line("the open connections to the store go silent");
  }
  Sleep(0.9);
  const double revoked_at =
      store.Put("config", "main", ConfigOf(9, routes, services, {"key-2"}));
  test.record.Line("the store acknowledges version 9 without key-1");
  Sleep(6);
  stop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  // In touch again from `silent_at` + stableWindowMs; bound from the
  // acknowledgement + configMs.
  const double bound =
      std::max(silent_at + kStableWindowS, revoked_at + kConfigS);
  std::map<std::string, int> runs;
  for (const auto& runner : runners) {
    for (const auto& [id, run] : runner->Runs()) {
      runs[id] += 1;
    }
  }
  int broken = 0;
  for (const Sent& request : sent) {
    const bool late = request.at > bound && runs.contains(request.id);
    broken += late ? 1 : 0;
    char text[160];
    std::snprintf(text, sizeof(text),
                  "client sent %s with key-1 at %.3f (%+.3f s from the "
                  "acknowledgement): %d%s",
                  request.id.c_str(), request.at, request.at - revoked_at,
                  request.status,
                  late ? "; BROKEN: run with a dropped key" : "");
    test.record.Line(text);
  }
  test.record.Line(
      "requests with the dropped key that ran although sent after " +
      std::to_string(bound) + ": " + std::to_string(broken));
  test.End(broken > 0 ? kBroken : kHeld);
}

// Case alone: one machine is cut off from the store, and comes back.

constexpr double kDrainS = 2.0;
constexpr double kCutS = 4.0;
/// Time for which the runner that leaves goes on serving.
constexpr double kLeavingS = 4.0;
constexpr int kCuts = 5;
/// Pause between two rounds, longer than stableWindowMs.
constexpr double kCalmS = 3.5;

[[noreturn]] void RunAlone(const Case& test) {
  Store store(test.record);
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < kCuts + 3; ++i) {
    runners.push_back(
        std::make_unique<Runner>(test.record, store, "i-" + std::to_string(i),
                                 "api", "127.0.2." + std::to_string(10 + i)));
    runners.back()->work_s = 0.06;
    runners.back()->Register();
  }
  store.Put(
      "config", "main",
      ConfigOf(
          7,
          Json::array({RouteOf("lookup", "/lookup/", "safe", "api", 800, 2)}),
          Json::array({PlainService("api")}), {"key-1"}));
  std::vector<std::unique_ptr<Store::Door>> doors;
  std::vector<std::string> stores;
  for (int i = 0; i < 3; ++i) {
    doors.push_back(store.OpenDoor());
    stores.push_back(doors.back()->server->Address());
  }
  const auto hosts = test.StartHosts(stores);
  Sleep(8);
  // The machine that is cut off is the first; the clients use the others.
  std::atomic<bool> stop{false};
  std::vector<std::thread> threads;
  for (int i = 0; i < 30; ++i) {
    threads.emplace_back([&, i] {
      std::unique_ptr<Client> client;
      for (int number = 0; !stop; ++number) {
        const EntryHost& host = *hosts[1 + i % 2];
        if (client == nullptr) {
          client = std::make_unique<Client>(host);
        }
        Call call;
        call.method = "GET";
        call.target = "/lookup/donor";
        call.id = host.name() + "-" + std::to_string(i) + "-" +
                  std::to_string(number);
        client->Send(Head(call) + "\r\n");
        if (!client->Read(2)) {
          client.reset();
        }
        Sleep(0.005);
      }
    });
  }
  Sleep(1);
  Store::Door& door = *doors.front();
  int late = 0;
  for (int round = 0; round < kCuts; ++round) {
    if (test.trouble) {
      test.record.Line(hosts.front()->name() + " is cut off from the store");
      door.is_cut = true;
      Sleep(kCutS);
      door.is_cut = false;
      const double healed = Now();
      test.record.Line("the cut has ended");
      while (door.servers_listed_at < healed ||
             door.config_listed_at < healed) {
        if (Now() > healed + 5) {
          test.Fail("the machine doesn't read the store again");
        }
        Sleep(0.01);
      }
      // By now the other machines have heard that the store is back.
      Sleep(0.2);
    } else {
      Sleep(kCutS + 1);
    }
    Runner& leaving = *runners[round];
    const double removed = store.Remove("servers", leaving.id());
    test.record.Line("runner " + leaving.id() +
                     " leaves: the store removes its entry");
    Sleep(kLeavingS);
    int late_now = 0;
    double last = 0;
    for (const auto& [id, runs] : leaving.Runs()) {
      for (const Runner::Run& run : runs) {
        late_now += run.at > removed + kDrainS ? 1 : 0;
        last = std::max(last, run.at);
      }
    }
    late += late_now;
    test.record.Line("the last request reaches " + leaving.id() + " " +
                     std::to_string(last - removed) +
                     " s after the removal; later than drainTimeoutMs: " +
                     std::to_string(late_now));
    Sleep(kCalmS);
  }
  stop = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  test.End(late > 0 ? kBroken : kHeld);
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, std::function<void(const Case&)>> cases = {
      {"order", RunOrder},
      {"memory", RunMemory},
      {"promise", RunPromise},
      {"silent", RunSilent},
      {"alone", RunAlone}};
  if (argc != 3 || !cases.contains(argv[1])) {
    std::fprintf(stderr,
                 "usage: cases order|promise|memory|silent|alone FOLDER\n");
    return kCouldNotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  Record record(std::string(argv[2]) + "/record.txt");
  char folder[] = "/tmp/filbert-review-XXXXXX";
  if (mkdtemp(folder) == nullptr) {
    return kCouldNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const Case test{record, trouble == nullptr || std::string(trouble) != "0",
                  folder};
  try {
    cases.at(argv[1])(test);
  } catch (const CannotRun& failure) {
    test.Fail(failure.why);
  }
}
