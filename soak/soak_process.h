#pragma once

/// A child process of the soak. Signals go to its process id only.

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace filbertrack::soak {

class Process {
 public:
  /// Standard output and standard error are appended to the file `log`.
  Process(std::string program,
          std::vector<std::string> arguments,
          std::string log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Returns false if the program cannot be started.
  bool Start();
  void Signal(int signal) const;
  bool IsRunning() const { return m_pid > 0; }

  /// Reaps the process: its exit code, or the negative number of the signal
  /// that terminated it. Returns nullopt while it runs and after it was reaped.
  std::optional<int> TakeExitStatus();

 private:
  std::string m_program;
  std::vector<std::string> m_arguments;
  std::string m_log;
  pid_t m_pid = 0;
};

}  // namespace filbertrack::soak
