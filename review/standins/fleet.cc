#include "fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>

namespace review {

namespace {

constexpr int kWorkMs = 30;

void Sleep(long ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string NextRequestId() {
  static std::atomic<uint64_t> next = 0x9c41d07be2000000;
  char text[32];
  std::snprintf(text, sizeof(text), "%016lx",
                static_cast<unsigned long>(next++));
  return text;
}

}  // namespace

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w")) {
  std::setvbuf(m_file, nullptr, _IOLBF, 0);
}

Record::~Record() {
  std::fclose(m_file);
}

void Record::Add(const std::string& line) {
  const std::lock_guard lock(m_mutex);
  std::fprintf(m_file, "%ld %s\n", NowMs(), line.c_str());
}

size_t Runs::Begin(const std::string& runner,
                   const std::string& request,
                   const std::string& path) {
  m_record.Add("run " + request + " at " + runner + " path " + path);
  const std::lock_guard lock(m_mutex);
  m_runs.push_back({runner, request, path, NowMs(), false});
  return m_runs.size() - 1;
}

void Runs::Finish(size_t index) {
  const std::lock_guard lock(m_mutex);
  m_runs[index].finished = true;
}

std::vector<Run> Runs::All() {
  const std::lock_guard lock(m_mutex);
  return m_runs;
}

PlainRunner::PlainRunner(Store& store,
                         Runs& runs,
                         Record& record,
                         const std::string& host,
                         const std::string& id,
                         const std::string& service,
                         const std::string& zone)
    : m_store(store),
      m_runs(runs),
      m_record(record),
      m_id(id),
      m_service(service),
      m_zone(zone),
      m_server(host,
               [this](const Request& request) { return Handle(request); }) {
  Register("ready");
}

PlainRunner::~PlainRunner() = default;

void PlainRunner::Register(const std::string& state) {
  // Heartbeats change only `seq`, for which the entry does not change; they are
  // left out.
  m_store.Put("servers", m_id,
              R"({"service":")" + m_service + R"(","address":")" +
                  m_server.endpoint().ToString() + R"(","zone":")" + m_zone +
                  R"(","version":"v1","slots":6,"state":")" + state +
                  R"(","coldRemainingMs":0,"born":1764800000000,"seq":1})");
}

long PlainRunner::Drain() {
  Register("draining");
  m_record.Add("drain " + m_id + " acknowledged");
  return NowMs();
}

long PlainRunner::RemoveEntry() {
  m_store.Remove("servers", m_id);
  m_record.Add("entry of " + m_id + " removed");
  return NowMs();
}

void PlainRunner::End() {
  m_server.Stop();
  m_record.Add("end " + m_id);
}

Response PlainRunner::Handle(const Request& request) {
  Response response;
  const std::string id = request.Header("X-Attempt-Id");
  response.headers.emplace_back("X-Attempt-Id", id);
  const std::string expected = request.Header("X-Expect-Runner");
  if (!expected.empty() && expected != m_id) {
    response.status = 421;
    response.headers.emplace_back("X-Runner-Id", m_id);
    return response;
  }
  const size_t run = m_runs.Begin(m_id, id, request.path);
  Sleep(kWorkMs);
  m_runs.Finish(run);
  response.headers.emplace_back("X-Runner-Seal", "3e1b." + id);
  response.body = m_id + " served " + id;
  return response;
}

EntryProcess::EntryProcess(const EntryOptions& options,
                           Record& record,
                           const std::string& name,
                           const std::string& zone,
                           const std::string& ip,
                           const Endpoint& store)
    : m_options(options),
      m_record(record),
      m_name(name),
      m_zone(zone),
      m_settings(options.folder + "/" + name + ".ini"),
      m_log(options.folder + "/" + name + ".log"),
      m_front{ip, FreePort(ip)},
      m_ready{ip, FreePort(ip)},
      m_peers{ip, FreePort(ip)},
      m_forward{ip, FreePort(ip)},
      m_store(store) {}

void EntryProcess::WriteSettings() const {
  // The layout of deploy/entry.ini, with the values that the platform fills in.
  std::ofstream file(m_settings);
  file << "[node]\nname = " << m_name << "\ndata_centre = " << m_zone
       << "\nlink_mbps = 200.0\nprocessor_share = 0.5\nmemory_mb = 512\n"
       << (m_is_first_start ? "first_start = yes\n" : "")
       << "regions = zone-a:r,zone-b:r,zone-c:r\n"
       << (m_options.watches_evacuations ? "\n[evacuations]\nwatched = yes\n"
                                         : "")
       << "\n[log]\nlevel = info\n\n[callers]\nlisten = " << m_front.ToString()
       << "\n\n[ready]\nlisten = " << m_ready.ToString()
       << "\n\n[peers]\nlisten = " << m_peers.ToString()
       << "\nforward_port = " << m_forward.port
       << "\n\n[store]\naddress = " << m_store.ToString()
       << "\n\n[stop]\ngrace = " << m_options.bounds.grace_s
       << "s\n\n[retries]\nratio = 0.2\nslack = "
       << m_options.bounds.budget_slack << "\n\n[groups]\nstall = 5000ms\n";
}

EntryProcess::~EntryProcess() {
  Stop();
}

void EntryProcess::Start() {
  m_signalled = false;
  WriteSettings();
  m_is_first_start = false;
  m_pid = fork();
  if (m_pid != 0) {
    m_record.Add("start " + m_name);
    return;
  }
  // Ends with the driver, also if that is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log =
      open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  // The platform passes on no other variables.
  const std::string settings = "FILBERTRACK_SETTINGS=" + m_settings;
  const char* path = std::getenv("PATH");
  const std::string search =
      std::string("PATH=") + (path == nullptr ? "" : path);
  const char* environment[] = {settings.c_str(), search.c_str(), nullptr};
  execle(m_options.program.c_str(), m_options.program.c_str(), nullptr,
         environment);
  _exit(127);
}

void EntryProcess::Kill(int signal) {
  if (m_pid > 0) {
    m_signalled = true;
    kill(m_pid, signal);
    m_record.Add("signal " + std::to_string(signal) + " to " + m_name);
  }
}

void EntryProcess::Restart() {
  waitpid(m_pid, nullptr, 0);
  Start();
}

bool EntryProcess::RestartIfEnded() {
  int status = 0;
  if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid) {
    return false;
  }
  m_pid = -1;
  const bool by_itself = !m_signalled;
  m_record.Add(m_name + (by_itself ? " ended by itself, " : " ended, ") +
               (WIFSIGNALED(status)
                    ? "signal " + std::to_string(WTERMSIG(status))
                    : "status " + std::to_string(WEXITSTATUS(status))));
  Start();
  return by_itself;
}

void EntryProcess::Stop() {
  if (m_pid > 0) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }
}

bool EntryProcess::IsReady() const {
  return Send(m_ready, "GET", "/ready", {{"Host", "ready"}}, "", 500).status ==
         200;
}

std::string RouteJson(const std::string& name,
                      const std::string& prefix,
                      const std::string& kind,
                      const std::string& service) {
  return R"({"name":")" + name + R"(","hostname":")" + kHostname +
         R"(","pathPrefix":")" + prefix + R"(","kind":")" + kind +
         R"(","timeoutMs":1200,"targetLatencyMs":200,"priority":2,"service":")" +
         service + R"(","maxAttempts":)" + (kind == "safe" ? "2" : "1") +
         R"(,"public":false})";
}

std::string ConfigJson(int version,
                       const std::vector<std::string>& routes,
                       const std::vector<std::string>& services) {
  std::string text =
      R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
  for (size_t i = 0; i < routes.size(); ++i) {
    text += (i == 0 ? "" : ",") + routes[i];
  }
  text += R"(],"services":[)";
  for (size_t i = 0; i < services.size(); ++i) {
    text += (i == 0 ? "" : ",") + std::string(R"({"name":")") + services[i] +
            R"(","maxConnections":550,"healthPath":"/health"})";
  }
  return text +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
         R"("tenants":[{"name":"hule930","apiKeys":[")" +
         kKey + R"("]}]})";
}

std::string LoopbackNetwork() {
  const unsigned pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + pid % 250) + "." +
         std::to_string(1 + pid / 250 % 250) + ".";
}

Outcome Call(Record& record,
             const EntryProcess& entry,
             const std::string& method,
             const std::string& path,
             int deadline_ms,
             const Headers& more) {
  Outcome outcome;
  outcome.id = NextRequestId();
  outcome.path = path;
  outcome.host = entry.name();
  outcome.sent_ms = NowMs();
  record.Add("sent " + outcome.id + " " + method + " " + path + " to " +
             entry.name());
  Headers headers = {{"Host", kHostname},
                     {"X-Attempt-Id", outcome.id},
                     {"X-Deadline-Remaining", std::to_string(deadline_ms)},
                     {"Authorization", std::string("Bearer ") + kKey}};
  headers.insert(headers.end(), more.begin(), more.end());
  outcome.answer = Send(entry.front(), method, path, headers,
                        method == "POST" ? "payment" : "", deadline_ms);
  record.Add("answered " + outcome.id + " " +
             (outcome.answer.status == 0
                  ? "connection ended"
                  : std::to_string(outcome.answer.status)));
  return outcome;
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

}  // namespace review
