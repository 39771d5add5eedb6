#include "standin/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

namespace jd {

ChildProcess::~ChildProcess() {
  if (Running()) {
    Signal(SIGKILL);
    waitpid(pid_, &exit_status_, 0);
  }
}

void ChildProcess::Start(const Command& command) {
  std::vector<char*> arguments;
  for (const std::string& argument : command.argv) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, command.log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  if (command.sighup_blocked) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    posix_spawnattr_setsigmask(&attributes, &signals);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
  }
  const int error =
      posix_spawn(&pid_, arguments.front(), &files, &attributes, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  posix_spawnattr_destroy(&attributes);
  if (error != 0) {
    pid_ = -1;
    throw std::runtime_error("cannot start program: " + command.argv.front());
  }
}

void ChildProcess::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

bool ChildProcess::Running() {
  if (pid_ > 0 && waitpid(pid_, &exit_status_, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

}  // namespace jd
