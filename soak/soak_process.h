#pragma once

/// One program that the soak started. It is signalled by its id and no other
/// process is.

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace filbertrack::soak {

class Process {
 public:
  /// `log` gets both outputs, after what is in it.
  Process(std::string program,
          std::vector<std::string> arguments,
          std::string log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// False if the program cannot be started.
  bool Start();
  void Signal(int signal) const;
  bool IsRunning() const { return m_pid > 0; }

  /// How it ended, once: its exit code, or minus the signal that ended it.
  std::optional<int> TakeExitStatus();

 private:
  std::string m_program;
  std::vector<std::string> m_arguments;
  std::string m_log;
  pid_t m_pid = 0;
};

}  // namespace filbertrack::soak
