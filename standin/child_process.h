#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace jd {

/// Starts a program as a child process with its output in a log file, and kills the process when
/// this object is destroyed.
class ChildProcess {
 public:
  struct Command {
    std::vector<std::string> argv;  ///< Path of the program, then its arguments.
    std::string log;                ///< File to which stdout and stderr are appended.
    /// Starts the program with SIGHUP blocked, so that a SIGHUP sent early stays pending as if it
    /// had arrived before the program could handle it.
    bool sighup_blocked = false;
  };

  ChildProcess() = default;
  /// Kills the process with SIGKILL and waits for it, if it is still running.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// Starts the program. @throws std::runtime_error if it cannot be started.
  void Start(const Command& command);
  /// Sends a signal to the process; does nothing if no process is running.
  void Signal(int signal) const;
  /// Returns whether the process is running, and reaps it if it has ended.
  bool Running();
  /// Id of the running process, or -1 if none is running.
  pid_t pid() const { return pid_; }
  /// Status from waitpid of the most recent process that ended.
  int exit_status() const { return exit_status_; }

 private:
  pid_t pid_ = -1;
  int exit_status_ = 0;
};

}  // namespace jd
