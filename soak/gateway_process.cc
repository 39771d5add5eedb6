#include "soak/gateway_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace jd {

GatewayProcess::GatewayProcess(std::string program,
                               const std::string& directory,
                               GatewayPlace place)
    : program_(std::move(program)),
      settings_(directory + "/" + place.name + ".toml"),
      log_(directory + "/" + place.name + ".log"),
      place_(std::move(place)) {
  std::ofstream(settings_) << "[gateway]\nid = \"" << place_.name << "\"\nzone = \"" << place_.zone
                           << "\"\npolicy = \"fresh_load\"\ngrace_ms = 3000\nevent_ring = 0\n"
                           << "[callers]\nlisten = \"127.0.0.1:" << place_.callers_port << "\"\n"
                           << "[status]\nlisten = \"127.0.0.1:" << place_.status_port << "\"\n"
                           << "[peers]\naddress = \"127.0.0.1\"\nport = " << place_.peer_port
                           << "\nshared_key = \"key-of-the-soak-on-loopback\"\n"
                           << "[platform]\nserver = \"127.0.0.1:" << place_.store_port
                           << "\"\nsource = \"discovery\"\n"
                           << "[retries]\nshare = 0.2\nwindow_s = 10\n[probes]\nper_second = 60\n";
}

GatewayProcess::~GatewayProcess() {
  if (Running()) {
    Signal(SIGKILL);
    waitpid(pid_, &exit_status_, 0);
  }
}

void GatewayProcess::Start() {
  const char* arguments[] = {program_.c_str(), "gateway", "--config", settings_.c_str(), nullptr};
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&pid_, program_.c_str(), &files, nullptr,
                                const_cast<char* const*>(arguments), environ);
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) {
    throw std::runtime_error("cannot start " + program_);
  }
}

void GatewayProcess::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

bool GatewayProcess::Running() {
  if (pid_ > 0 && waitpid(pid_, &exit_status_, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

}  // namespace jd
