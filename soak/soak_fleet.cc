#include "soak_fleet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>

#include "platform_config.h"

namespace filbertrack::soak {

namespace {

constexpr Duration kBreakCheck = Milliseconds(50);
constexpr Duration kProcessCheck = Milliseconds(50);
/// Added to the grace period, for the exit to be noticed on a busy machine.
constexpr Duration kGraceMargin = Seconds(3);
constexpr int kDomains = 2;

/// First source address of the entry hosts, in its last byte.
constexpr int kFirstSource = 2;

/// Loopback address of all entry hosts of this run, derived from the process
/// id. Concurrent runs use different addresses: otherwise another run could
/// bind a port between its allocation and the start or restart of the entry
/// host, which would then exit on each start.
std::string RunAddress(int last = 1) {
  constexpr unsigned kHosts = 250;
  const auto pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + pid % kHosts) + "." +
         std::to_string(1 + pid / kHosts % kHosts) + "." + std::to_string(last);
}

/// A port that the kernel reports as free now.
Address FreeAddress() {
  const std::string host = RunAddress();
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  inet_pton(AF_INET, host.c_str(), &at.sin_addr);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0) {
    std::perror("cannot bind a free port");
  }
  socklen_t size = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  close(fd);
  return {host, ntohs(at.sin_port)};
}

/// Allocates free addresses, each at most once. The kernel may return a port
/// again while no process listens on it yet; the second process that gets it
/// would exit on each start.
class AddressAllocator {
 public:
  Address Next() {
    Address address = FreeAddress();
    while (!m_allocated.insert(address.port).second) {
      address = FreeAddress();
    }
    return address;
  }

 private:
  std::set<uint16_t> m_allocated;
};

/// Entry hosts are spread over several data centres, so that large fleets
/// exchange loads through relays.
std::string DataCentre(int host) {
  constexpr int kDataCentres = 3;
  return "z" + std::to_string(host % kDataCentres);
}

}  // namespace

Fleet::Fleet(EventLoop& loop, const FleetOptions& options)
    : m_loop(loop), m_options(options), m_store(loop) {
  std::filesystem::create_directories(options.folder);
  PutConfig();
  for (int i = 0; i < options.runners; ++i) {
    AddRunner();
  }
  for (int i = 0; i < options.plain_servers; ++i) {
    AddPlainServer();
  }
  m_break_timer = loop.Every(kBreakCheck, [this] { BreakHeads(); });
  m_watch_timer = loop.Every(kProcessCheck, [this] { WatchProcesses(); });
}

Fleet::~Fleet() = default;

bool Fleet::Start() {
  AddressAllocator addresses;
  for (int i = 0; i < m_options.entry_hosts; ++i) {
    auto entry = std::make_unique<EntryProcess>();
    entry->name = "e" + std::to_string(i);
    entry->source = RunAddress(kFirstSource + i);
    entry->callers = addresses.Next();
    entry->ready = addresses.Next();
    entry->store = std::make_unique<Proxy>(m_loop, m_store.address());
    const std::string base = m_options.folder + "/" + entry->name;
    std::ofstream settings(base + ".ini");
    settings << "[node]\nname = " << entry->name
             << "\ndata_centre = " << DataCentre(i) << "\n"
             << "[callers]\nlisten = " << entry->callers.ToString() << "\n"
             << "[ready]\nlisten = " << entry->ready.ToString() << "\n"
             << "[peers]\nlisten = " << addresses.Next().ToString() << "\n"
             << "[servers]\nsource = " << entry->source << "\n"
             << "[store]\naddress = " << entry->store->address().ToString()
             << "\n[stop]\ngrace = " << ToMilliseconds(kGrace) << "ms\n"
             << "[groups]\nstall = " << ToMilliseconds(kHeadStallTimeout)
             << "ms\nspares_per_domain = 1\n"
             << "[placement]\nmode = " << m_options.placement << "\n";
    settings.close();
    entry->process = std::make_unique<Process>(
        m_options.program,
        std::vector<std::string>{"--settings", base + ".ini"}, base + ".log");
    if (!entry->process->Start()) {
      return false;
    }
    m_entries.push_back(std::move(entry));
  }
  return true;
}

std::unique_ptr<RunnerHost> Fleet::MakeHost(const std::string& id, bool plain) {
  auto host = std::make_unique<RunnerHost>();
  RunnerStandinOptions options;
  options.id = id;
  options.service = plain ? "plain" : "llm";
  options.is_plain = plain;
  options.observer = this;
  options.events = kStreamEvents;
  options.event_texts = m_options.event_texts;
  options.crash_trigger = kPoisonBody;
  options.crash_parts = {std::string(kFaultyPart)};
  options.domain = "d" + std::to_string(m_next_runner % kDomains);
  options.published = [this, &host](const Address& listening) {
    host->proxy = std::make_unique<Proxy>(m_loop, listening);
    for (const auto& [source, cut] : m_cuts) {
      host->proxy->Cut(source, cut);
    }
    return host->proxy->address();
  };
  host->standin =
      std::make_unique<PlatformRunnerStandin>(m_loop, m_store, options);
  return host;
}

void Fleet::Cut(const EntryProcess& entry, const LinkCut& cut) {
  m_cuts[entry.source] = cut;
  for (const auto* hosts : {&m_runners, &m_plain}) {
    for (const auto& host : *hosts) {
      host->proxy->Cut(entry.source, cut);
    }
  }
}

void Fleet::Heal(const EntryProcess& entry) {
  m_cuts.erase(entry.source);
  for (const auto* hosts : {&m_runners, &m_plain}) {
    for (const auto& host : *hosts) {
      host->proxy->Heal(entry.source);
    }
  }
}

void Fleet::LogFault(const std::string& what) {
  m_fault_log.push_back(
      std::to_string(ToMilliseconds(MonotonicNow() - m_started_at)) + " " +
      what);
}

void Fleet::AddRunner() {
  m_runners.push_back(MakeHost("r" + std::to_string(m_next_runner), false));
  ++m_next_runner;
}

void Fleet::AddPlainServer() {
  m_plain.push_back(MakeHost("p" + std::to_string(m_next_plain), true));
  ++m_next_plain;
}

void Fleet::PutConfig() {
  Json config = MakeConfig(++m_config_version);
  config["routes"].push_back(MakeRoute(
      "new-" + std::to_string(m_config_version),
      "/new" + std::to_string(m_config_version) + "/", "safe", "plain"));
  for (Json& route : config["routes"]) {
    // Allows retries, so that only whether a request may be repeated decides
    // how often it runs.
    route["maxAttempts"] = 3;
  }
  m_store.Put("config", "main", config);
}

PlatformRunnerStandin* Fleet::FindRunner(std::string_view id) {
  const auto found = std::find_if(
      m_runners.begin(), m_runners.end(),
      [id](const auto& host) { return host->standin->id() == id; });
  return found == m_runners.end() ? nullptr : (*found)->standin.get();
}

int Fleet::CountOpenGroups() const {
  return static_cast<int>(
      std::count_if(m_runners.begin(), m_runners.end(), [](const auto& host) {
        return !host->standin->is_dead() && host->standin->is_open();
      }));
}

void Fleet::OnJoin(const PlatformRunnerStandin& runner,
                   const std::string& group) {
  const auto last = m_last_group.find(runner.id());
  if (last != m_last_group.end() && last->second != group) {
    for (const auto& host : m_runners) {
      const PlatformRunnerStandin& head = *host->standin;
      const bool is_head = !head.members().empty() &&
                           head.members().front() == head.id() &&
                           head.group() == last->second;
      const bool serves = head.state() == "open" || head.state() == "closing";
      const auto incomplete_since = m_incomplete_since.find(head.group());
      const bool broken =
          incomplete_since != m_incomplete_since.end() &&
          MonotonicNow() - incomplete_since->second >= kHeadStallTimeout;
      if (is_head && serves && !head.is_dead() && !broken) {
        m_violations.push_back(runner.id() + " joined " + group +
                               " while the head of " + head.group() + ", " +
                               head.id() + ", was " + head.state());
      }
    }
  }
  m_last_group[runner.id()] = group;
}

void Fleet::OnOpen(const PlatformRunnerStandin& runner) {
  for (const std::string& id : runner.members()) {
    const PlatformRunnerStandin* member = FindRunner(id);
    const bool ready = member != nullptr && member->group() == runner.group() &&
                       member->epoch() == runner.epoch() &&
                       member->state() == "ready";
    // A member that was lost in the meantime does not make the order wrong.
    const bool lost = member == nullptr || member->is_dead() ||
                      member->group() != runner.group();
    if (!ready && !lost) {
      m_violations.push_back(runner.id() + " opened " + runner.group() +
                             " while " + id + " was " + member->state());
    }
  }
}

void Fleet::OnCrash(const PlatformRunnerStandin&) {
  ++m_crashes;
  // The platform starts a replacement.
  AddRunner();
}

void Fleet::BreakHeads() {
  const TimePoint now = MonotonicNow();
  for (const auto& host : m_runners) {
    PlatformRunnerStandin& head = *host->standin;
    const bool serves = !head.is_dead() &&
                        (head.state() == "open" || head.state() == "closing");
    if (!serves) {
      continue;
    }
    const auto& members = head.members();
    const bool complete =
        std::all_of(members.begin(), members.end(), [&](const std::string& id) {
          const PlatformRunnerStandin* member = FindRunner(id);
          return member != nullptr && !member->is_dead() &&
                 member->group() == head.group() &&
                 member->epoch() == head.epoch();
        });
    if (complete) {
      m_incomplete_since.erase(head.group());
    } else if (now - m_incomplete_since.try_emplace(head.group(), now)
                         .first->second >=
               kHeadStallTimeout) {
      head.Break();
    }
  }
}

void Fleet::WatchProcesses() {
  const TimePoint now = MonotonicNow();
  for (const auto& entry : m_entries) {
    const auto end = entry->process->TakeExitStatus();
    if (end && !entry->end_signalled_at) {
      m_violations.push_back(entry->name +
                             " exited without a signal, with status " +
                             std::to_string(*end));
    } else if (end && !entry->killed && *end != 0) {
      m_violations.push_back(entry->name + " exited with status " +
                             std::to_string(*end) + " after SIGTERM");
    }
    if (end) {
      // The platform restarts it.
      entry->end_signalled_at.reset();
      entry->killed = false;
      entry->paused = false;
      entry->disruptions.push_back(now);
      LogFault("restart " + entry->name + " after status " +
               std::to_string(*end));
      entry->process->Start();
    } else if (entry->end_signalled_at && !entry->killed && !entry->paused &&
               now - *entry->end_signalled_at > kGrace + kGraceMargin) {
      m_violations.push_back(entry->name +
                             " still runs after its grace period");
      entry->killed = true;
      entry->process->Signal(SIGKILL);
    }
  }
}

}  // namespace filbertrack::soak
