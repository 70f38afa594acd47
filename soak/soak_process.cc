#include "soak_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>

namespace filbertrack::soak {

Process::Process(std::string program,
                 std::vector<std::string> arguments,
                 std::string log)
    : m_program(std::move(program)),
      m_arguments(std::move(arguments)),
      m_log(std::move(log)) {}

Process::~Process() {
  if (IsRunning()) {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
}

bool Process::Start() {
  std::vector<char*> words = {m_program.data()};
  for (std::string& argument : m_arguments) {
    words.push_back(argument.data());
  }
  words.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, m_log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  const int failed = posix_spawn(&m_pid, m_program.c_str(), &files, nullptr,
                                 words.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (failed != 0) {
    m_pid = 0;
  }
  return failed == 0;
}

void Process::Signal(int signal) const {
  if (IsRunning()) {
    kill(m_pid, signal);
  }
}

std::optional<int> Process::TakeExitStatus() {
  int status = 0;
  if (!IsRunning() || waitpid(m_pid, &status, WNOHANG) != m_pid) {
    return std::nullopt;
  }
  m_pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

}  // namespace filbertrack::soak
