#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace jd {

/// A program that runs as a process of its own and writes to a file.
class ChildProcess {
 public:
  struct Command {
    std::vector<std::string> words;  ///< Path of the program and its arguments.
    std::string log;                 ///< What it writes is added to this file.
    /// SIGHUP waits from the start, as if it came before the program could handle it.
    bool hang_up_held = false;
  };

  ChildProcess() = default;
  /// Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Throws std::runtime_error if the program cannot be started.
  void Start(const Command& command);
  void Signal(int signal) const;
  /// @return whether the process runs; collects it when it has ended.
  bool Running();
  /// Exit status as waitpid gives it, of the latest process that ended.
  int exit_status() const { return exit_status_; }

 private:
  pid_t pid_ = -1;
  int exit_status_ = 0;
};

}  // namespace jd
