#include "control/gateway_command.h"

#include <csignal>
#include <iostream>

#include "gateway/event_loop.h"
#include "gateway/gateway.h"
#include "gateway/settings.h"

namespace jd {

ExitCode RunGatewayCommand(const CommandArguments& arguments) {
  Settings settings;
  try {
    settings = LoadSettings(arguments.at("--config").asString());
  } catch (const SettingsError& error) {
    std::cerr << error.what() << "\n";
    return ExitCode::kUsage;
  }
  // A peer that closes its connection while it is written to must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    EventLoop loop;
    Gateway gateway(&loop, settings);
    const SignalWatch terminate(&loop, SIGTERM, [&gateway] { gateway.Stop(); });
    const SignalWatch interrupt(&loop, SIGINT, [&gateway] { gateway.Stop(); });
    gateway.stopped().connect([&loop] { loop.Stop(); });
    gateway.Start();
    loop.Run();
  } catch (const std::exception& error) {
    std::cerr << "jackdawdeck: " << error.what() << "\n";
    return ExitCode::kFailed;
  }
  return ExitCode::kDone;
}

}  // namespace jd
