/// filbertctl: the operator's command-line tool.

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <span>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "filbertrack/base_json.h"
#include "filbertrack/explain_account.h"
#include "filbertrack/explain_request.h"
#include "filbertrack/groups_plan.h"
#include "filbertrack/operator_client.h"

namespace filbertrack {
namespace {

using Json = nlohmann::json;

struct CommandLine {
  std::string settings_path;
  bool json = false;
  std::string file;
  std::string reason;
  bool dry_run = false;
  bool wait = false;
  int64_t wait_seconds = 10;
  uint64_t generation = 0;
  size_t max_rows = 20;
  bool explain = false;
  std::string request;
  std::vector<std::string> logs;
  LossReportPolicy account;
  double window_seconds = 2;
};

int ReportError(const Error& error) {
  std::fprintf(stderr, "filbertctl: %s\n", error.message.c_str());
  return static_cast<int>(error.code);
}

Result<Json> ReadChange(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) {
    return Fail(ResultCode::kUsage, "The file '" + path + "' cannot be read.");
  }
  const std::string text((std::istreambuf_iterator<char>(stream)),
                         std::istreambuf_iterator<char>());
  Result<Json> change = ParseJson(text);
  if (!change) {
    const bool is_json = change.error().code == ResultCode::kResourceInvalid;
    return Fail(ResultCode::kResourceInvalid,
                "The file '" + path + "' is " +
                    (is_json ? change.error().message : "not valid JSON") +
                    ".");
  }
  return change;
}

void PrintChange(const ChangeResult& result,
                 std::string_view verb,
                 const CommandLine& line) {
  if (line.json) {
    std::cout << Json({{"event", "config-" + std::string(verb)},
                       {"at_us", MonotonicNow().time_since_epoch().count()},
                       {"generation", result.generation},
                       {"changed", result.changed}})
                     .dump()
              << "\n";
    return;
  }
  for (const std::string& row : result.changed) {
    std::cout << row << "\n";
  }
  if (result.changed.empty()) {
    std::cout << "no changes\n";
  } else {
    std::cout << verb << ": generation " << result.generation << "\n";
  }
}

int RunApply(OperatorClient& client,
             const Settings& settings,
             const CommandLine& line) {
  const Result<Json> change = ReadChange(line.file);
  if (!change) {
    return ReportError(change.error());
  }
  if (line.dry_run) {
    const Result<ChangeResult> preview = client.Preview(*change);
    if (!preview) {
      return ReportError(preview.error());
    }
    PrintChange(*preview, "would become", line);
    return 0;
  }
  const Result<ChangeResult> applied = client.Apply(
      {*change, settings.Text("operator", "name"), line.reason, WallTimeMs()});
  if (!applied) {
    return ReportError(applied.error());
  }
  PrintChange(*applied, "accepted", line);
  if (line.wait && !applied->changed.empty()) {
    const Result<bool> in_force =
        client.WaitInForce(applied->generation, Seconds(line.wait_seconds));
    if (!in_force) {
      return ReportError(in_force.error());
    }
    if (!line.json) {
      std::cout << "in force on every entry host\n";
    }
  }
  return 0;
}

int RunGet(OperatorClient& client) {
  const Result<StoredConfig> config = client.ReadConfig();
  if (!config) {
    return ReportError(config.error());
  }
  std::cout << config->set.resources.dump(2) << "\n";
  return 0;
}

int RunWait(OperatorClient& client, const CommandLine& line) {
  const Result<bool> in_force =
      client.WaitInForce(line.generation, Seconds(line.wait_seconds));
  return in_force ? 0 : ReportError(in_force.error());
}

int RunHistory(OperatorClient& client, const CommandLine& line) {
  const Result<std::vector<ChangeRecord>> records =
      client.History(line.max_rows);
  if (!records) {
    return ReportError(records.error());
  }
  for (const ChangeRecord& record : *records) {
    if (line.json) {
      std::cout << Json({{"generation", record.generation},
                         {"change_id", record.change_id},
                         {"author", record.author},
                         {"reason", record.reason},
                         {"wall_time_ms", record.wall_time_ms},
                         {"changed", record.changed}})
                       .dump()
                << "\n";
      continue;
    }
    std::cout << record.generation << "  " << record.author << "  "
              << record.reason << "\n";
    for (const std::string& row : record.changed) {
      std::cout << "    " << row << "\n";
    }
  }
  return 0;
}

Json DecisionRow(const DomainReport& report, const DecisionRecord& record) {
  return {{"domain", report.domain},
          {"number", record.number},
          {"wall_time_ms", record.wall_time_ms},
          {"controller", record.controller},
          {"action", record.action},
          {"group", record.group},
          {"epoch", record.epoch},
          {"evidence", record.evidence}};
}

void PrintDecisions(const DomainReport& report, bool json) {
  for (const DecisionRecord& record : report.state.decisions) {
    if (json) {
      std::cout << DecisionRow(report, record).dump() << "\n";
    } else {
      std::cout << "    " << record.action << " " << record.group << " epoch "
                << record.epoch << " by " << record.controller << ": "
                << record.evidence << "\n";
    }
  }
}

void PrintDomain(const DomainReport& report, const CommandLine& line) {
  const int stranded = StrandedAccelerators(report.state, report.hosts);
  if (line.json) {
    Json groups = Json::array();
    for (const Group& group : report.state.groups) {
      groups.push_back({{"id", group.id},
                        {"serving_group", group.serving_group},
                        {"epoch", group.epoch},
                        {"phase", GroupPhaseName(group.phase)},
                        {"model_version", group.model_version},
                        {"members", group.members}});
    }
    std::cout << Json({{"domain", report.domain},
                       {"data_centre", report.hosts.data_centre},
                       {"holder", report.state.lease.holder},
                       {"stranded_accelerators", stranded},
                       {"groups", groups}})
                     .dump()
              << "\n";
    return;
  }
  std::cout << report.domain << "  (" << report.hosts.data_centre
            << ", controller " << report.state.lease.holder
            << ", stranded accelerators " << stranded << ")\n";
  for (const Group& group : report.state.groups) {
    std::cout << "  " << group.id << "  " << GroupPhaseName(group.phase)
              << "  epoch " << group.epoch << "  " << group.model_version
              << " ";
    for (const std::string& member : group.members) {
      std::cout << " " << member;
    }
    std::cout << "\n";
  }
}

int RunStatus(OperatorClient& client, const CommandLine& line) {
  const Result<std::vector<DomainReport>> reports = client.ReadDomains();
  if (!reports) {
    return ReportError(reports.error());
  }
  for (const DomainReport& report : *reports) {
    PrintDomain(report, line);
    if (line.explain) {
      PrintDecisions(report, line.json);
    }
  }
  for (const EntryHostReport& host : client.QueryEntryHosts()) {
    if (line.json) {
      std::cout << Json({{"entry_host", host.address.ToString()},
                         {"reachable", host.reachable},
                         {"ready", host.ready},
                         {"generation", host.generation}})
                       .dump()
                << "\n";
    } else {
      std::cout << "entry host " << host.address.ToString() << "  "
                << (host.ready       ? "ready"
                    : host.reachable ? "not ready"
                                     : "unreachable")
                << "  generation " << host.generation << "\n";
    }
  }
  return 0;
}

int RunAudit(OperatorClient& client, const CommandLine& line) {
  const int history = RunHistory(client, line);
  if (history != 0) {
    return history;
  }
  const Result<std::vector<DomainReport>> reports = client.ReadDomains();
  if (!reports) {
    return ReportError(reports.error());
  }
  for (const DomainReport& report : *reports) {
    if (!line.json) {
      std::cout << "decisions in " << report.domain << "\n";
    }
    PrintDecisions(report, line.json);
  }
  return 0;
}

Result<std::vector<RequestLogLine>> ReadLogs(
    const std::vector<std::string>& paths) {
  std::vector<RequestLogLine> log_lines;
  for (const std::string& path : paths) {
    std::ifstream stream(path);
    if (!stream) {
      return Fail(ResultCode::kUsage,
                  "The file '" + path + "' cannot be read.");
    }
    for (RequestLogLine& row : ReadRequestLog(stream)) {
      log_lines.push_back(std::move(row));
    }
  }
  return log_lines;
}

int RunExplain(const CommandLine& line) {
  const Result<std::vector<RequestLogLine>> log_lines = ReadLogs(line.logs);
  if (!log_lines) {
    return ReportError(log_lines.error());
  }
  const Explanation explanation = ExplainRequest(*log_lines, line.request);
  if (line.json) {
    Json lines = Json::array();
    for (const RequestLogLine& row : explanation.lines) {
      lines.push_back(row.fields);
    }
    std::cout << Json({{"event", "explained"},
                       {"request", line.request},
                       {"cause", explanation.cause},
                       {"lines", lines}})
                     .dump()
              << "\n";
    return 0;
  }
  for (const RequestLogLine& row : explanation.lines) {
    std::cout << FormatRequestLogLine(row) << "\n";
  }
  if (!explanation.context.empty()) {
    std::cout << "related lines:\n";
  }
  for (const RequestLogLine& row : explanation.context) {
    std::cout << "  " << FormatRequestLogLine(row) << "\n";
  }
  std::cout << explanation.cause << "\n";
  return 0;
}

void PrintLosses(std::string_view title,
                 std::span<const LossRow> rows,
                 std::string LossRow::*field,
                 const LossReport& account) {
  std::printf("%.*s\n", static_cast<int>(title.size()), title.data());
  std::printf("  %8s %7s %9s %8s %8s\n", "lost", "share", "requests", "age ms",
              "pred. ms");
  for (const LossRow& row : SumLosses(rows, field)) {
    std::printf("  %8.1f %7.4f %9d %8.0f %8.0f  %s\n", row.lost,
                row.lost / std::max(1, account.total_requests), row.requests,
                row.loads_age_ms, row.predicted_ms, (row.*field).c_str());
  }
}

/// Prints the `max_rows` windows with the largest losses, each by cause.
void PrintWindows(const LossReport& account, size_t max_rows) {
  std::map<int64_t, std::vector<LossRow>> windows;
  std::vector<std::pair<double, int64_t>> order;
  for (const LossRow& row : account.rows) {
    windows[row.window_start_ms].push_back(row);
  }
  for (const auto& [start, rows] : windows) {
    double lost = 0;
    for (const LossRow& row : rows) {
      lost += row.lost;
    }
    order.emplace_back(-lost, start);
  }
  std::sort(order.begin(), order.end());
  order.resize(std::min(order.size(), max_rows));
  for (const auto& [lost, start] : order) {
    PrintLosses("from second " + std::to_string(start / 1000), windows[start],
                &LossRow::cause, account);
  }
}

int RunAccount(const CommandLine& line) {
  const Result<std::vector<RequestLogLine>> log_lines = ReadLogs(line.logs);
  if (!log_lines) {
    return ReportError(log_lines.error());
  }
  LossReportPolicy policy = line.account;
  policy.window_ms = static_cast<int64_t>(line.window_seconds * 1000);
  const LossReport account = AttributeLosses(*log_lines, policy);
  if (line.json) {
    for (const LossRow& row : account.rows) {
      std::cout << Json({{"event", "loss"},
                         {"cause", row.cause},
                         {"route", row.route},
                         {"model", row.model},
                         {"window_ms", row.window_start_ms},
                         {"requests", row.requests},
                         {"lost", row.lost},
                         {"loads_age_ms", row.loads_age_ms},
                         {"predicted_ms", row.predicted_ms}})
                       .dump()
                << "\n";
    }
    return 0;
  }
  std::printf("asked %d, on time %d, lost %.1f\n", account.total_requests,
              account.on_time, account.lost);
  PrintLosses("by cause", account.rows, &LossRow::cause, account);
  PrintLosses("by model", account.rows, &LossRow::model, account);
  PrintLosses("by route", account.rows, &LossRow::route, account);
  PrintWindows(account, line.max_rows);
  return 0;
}

int RunCommand(const std::string& command, const CommandLine& line) {
  if (command == "explain") {
    return RunExplain(line);
  }
  if (command == "account") {
    return RunAccount(line);
  }
  if (line.settings_path.empty()) {
    return ReportError(
        Error{ResultCode::kUsage,
              "The command '" + command + "' needs --settings FILE."});
  }
  const Result<Settings> settings =
      OperatorSchema().ReadFile(line.settings_path);
  if (!settings) {
    return ReportError(settings.error());
  }
  OperatorClient client(*settings);
  if (command == "apply") {
    return RunApply(client, *settings, line);
  }
  if (command == "get") {
    return RunGet(client);
  }
  if (command == "wait") {
    return RunWait(client, line);
  }
  if (command == "history") {
    return RunHistory(client, line);
  }
  if (command == "status") {
    return RunStatus(client, line);
  }
  return RunAudit(client, line);
}

void DeclareCommands(CLI::App& app, CommandLine& line) {
  app.add_option(
      "-s,--settings", line.settings_path,
      "INI settings file; required by all commands except explain and "
      "account.");
  app.add_flag("--json", line.json, "Print JSON lines.");
  CLI::App* apply = app.add_subcommand("apply", "Apply a change atomically.");
  apply
      ->add_option("-f,--file", line.file,
                   "JSON file that contains the change.")
      ->required();
  apply->add_option("--reason", line.reason,
                    "Reason for the change; shown by history.");
  apply->add_flag("--dry-run", line.dry_run,
                  "Show the differences without applying them.");
  apply->add_flag("--wait", line.wait,
                  "Wait until the change is in force on every entry host.");
  apply->add_option("--seconds", line.wait_seconds,
                    "Maximum wait, in seconds.");
  app.add_subcommand("get", "Print the declared resources.");
  CLI::App* wait = app.add_subcommand(
      "wait", "Wait until a generation is in force on every entry host.");
  wait->add_option(
          "generation", line.generation,
          "Configuration generation to wait for; later ones count too.")
      ->required();
  wait->add_option("--seconds", line.wait_seconds, "Maximum wait, in seconds.");
  CLI::App* history = app.add_subcommand("history", "List accepted changes.");
  history->add_option("--most", line.max_rows,
                      "Maximum number of changes, newest first.");
  CLI::App* status =
      app.add_subcommand("status", "Show domains, groups and entry hosts.");
  status->add_flag("--explain", line.explain,
                   "Also show the controllers' group decisions.");
  app.add_subcommand(
      "audit", "Show operators' changes and the controllers' group decisions.");
  CLI::App* explain = app.add_subcommand(
      "explain", "Explain from log files what happened to a request, and why.");
  explain->add_option("request", line.request, "Request id.")->required();
  explain->add_option("files", line.logs, "Log files of the entry hosts.")
      ->required();
  CLI::App* account = app.add_subcommand(
      "account",
      "Report from log files the requests not answered on time, by cause.");
  account->add_option("files", line.logs, "Log files of all entry hosts.")
      ->required();
  account
      ->add_option("--late", line.account.late_share,
                   "Value of a late answer as a fraction of one on time.")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  account
      ->add_option("--window", line.window_seconds,
                   "Length of a time window, in seconds.")
      ->check(CLI::Range(0.1, 3600.0))
      ->capture_default_str();
  account
      ->add_option("--most", line.max_rows,
                   "Maximum number of windows, worst first.")
      ->capture_default_str();
  app.require_subcommand(1);
}

}  // namespace
}  // namespace filbertrack

int main(int argc, char** argv) {
  CLI::App app(
      "Changes the configuration and shows the state of a filbertrack fleet.",
      "filbertctl");
  filbertrack::CommandLine line;
  app.set_version_flag("--version", "filbertctl " FILBERTRACK_VERSION);
  filbertrack::DeclareCommands(app, line);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0
               ? 0
               : static_cast<int>(filbertrack::ResultCode::kUsage);
  }
  return filbertrack::RunCommand(app.get_subcommands().front()->get_name(),
                                 line);
}
