#include "control/gateway_command.h"

#include <docopt/docopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>

#include "control/command.h"
#include "control/gateway_daemon.h"
#include "gateway/log.h"
#include "gateway/settings.h"
#include "net/event_loop.h"

namespace jd {

namespace {

/// Blocks SIGHUP until its handler is installed, since the default action ends the process. A
/// blocked signal stays pending.
class SighupBlocker {
 public:
  SighupBlocker() {
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals_, nullptr);
  }
  void Unblock() const { sigprocmask(SIG_UNBLOCK, &signals_, nullptr); }

 private:
  sigset_t signals_{};
};

// Reads the settings file again and applies its log level, the only setting that can change while
// the process runs. Other settings take effect at the next start. An invalid file changes nothing.
void ReloadSettings(const std::string& file, Settings* settings) {
  try {
    const Settings loaded = LoadSettings(file);
    SetUpLog(loaded.log_level);
    settings->log_level = loaded.log_level;
    LogInfo(LogPart::kGateway, "event=reload file=" + file + " log_level=" + loaded.log_level);
  } catch (const SettingsError& error) {
    LogWarning(LogPart::kGateway, std::string("event=reload-refused fault=") + error.what());
  }
}

std::string SettingsPath(const std::map<std::string, docopt::value>& options) {
  const docopt::value& file = options.at("--config");
  if (file) {
    return file.asString();
  }
  const char* variable = std::getenv("JACKDAWDECK_NODE_FILE");
  return variable == nullptr ? std::string() : std::string(variable);
}

}  // namespace

int RunGatewayCommand(const std::vector<std::string>& arguments) {
  const SighupBlocker sighup_blocker;
  const auto options = docopt::docopt_parse(kGatewayUsage, arguments, true, false);
  Settings settings;
  try {
    settings = LoadSettings(SettingsPath(options));
  } catch (const SettingsError& error) {
    std::cerr << error.what() << "\n";
    return kExitUsageError;
  }
  try {
    EventLoop loop;
    SetUpLog(settings.log_level);
    const std::unique_ptr<GatewayDaemon> daemon = OpenGatewayDaemon(&loop, settings);
    const SignalWatch terminate(&loop, SIGTERM, [&daemon] { daemon->Stop(); });
    const SignalWatch interrupt(&loop, SIGINT, [&daemon] { daemon->Stop(); });
    const SignalWatch reload(&loop, SIGHUP,
                             [&] { ReloadSettings(SettingsPath(options), &settings); });
    sighup_blocker.Unblock();
    daemon->Start();
    loop.Run();
  } catch (const std::exception& error) {
    LogWarning(LogPart::kGateway, std::string("event=end fault='") + error.what() + "'");
    std::cerr << "jackdawdeck: " << error.what() << "\n";
    return kExitFailure;
  }
  return kExitSuccess;
}

}  // namespace jd
