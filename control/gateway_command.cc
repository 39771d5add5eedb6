#include "control/gateway_command.h"

#include <docopt/docopt.h>
#include <csignal>

#include <iostream>

#include "control/command.h"
#include "gateway/gateway.h"
#include "gateway/log.h"
#include "gateway/settings.h"
#include "platform/event_loop.h"

namespace jd {

int RunGatewayCommand(const std::vector<std::string>& arguments) {
  const auto options = docopt::docopt_parse(kGatewayUsage, arguments, true, false);
  Settings settings;
  try {
    settings = LoadSettings(options.at("--config").asString());
  } catch (const SettingsError& error) {
    std::cerr << error.what() << "\n";
    return kCommandUsage;
  }
  try {
    EventLoop loop;
    SetUpLog(settings.log_level);
    // The links to peers and operators are made here and connected to the gateway's signals.
    Gateway gateway(&loop, settings, settings.peers.port);
    const SignalWatch terminate(&loop, SIGTERM, [&gateway] { gateway.Stop(); });
    const SignalWatch interrupt(&loop, SIGINT, [&gateway] { gateway.Stop(); });
    gateway.stopped().connect([&loop] { loop.Stop(); });
    gateway.Start();
    loop.Run();
  } catch (const std::exception& error) {
    std::cerr << "jackdawdeck: " << error.what() << "\n";
    return kCommandFailed;
  }
  return kCommandDone;
}

}  // namespace jd
