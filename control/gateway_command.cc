#include "control/gateway_command.h"

#include <docopt/docopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <random>

#include "control/command.h"
#include "gateway/gateway.h"
#include "gateway/log.h"
#include "gateway/peer_links.h"
#include "gateway/settings.h"
#include "net/event_loop.h"
#include "platform/platform_dialect.h"
#include "platform/platform_discovery.h"

namespace jd {

namespace {

void Connect(PeerLinks* links, Gateway* gateway) {
  gateway->send_peer_message().connect(
      [links](const SendPeer& action) { links->SendMessage(action); });
  gateway->set_peer_address().connect(
      [links](const SetPeerAddress& action) { links->SetPeerAddress(action); });
  gateway->operator_reply().connect(
      [links](const OperatorReply& reply) { links->SendOperatorReply(reply); });
  gateway->SetPeerTrafficSource([links] { return links->traffic(); });
  links->message_received().connect(
      [gateway](const PeerMessage& message) { gateway->OnPeerMessage(message); });
  links->operator_request_received().connect(
      [gateway](const OperatorRequest& request) { gateway->OnOperatorRequest(request); });
}

std::unique_ptr<const HttpDialect> DialectFor(const Settings& settings) {
  if (settings.uses_discovery) {
    return std::make_unique<PlatformDialect>();
  }
  return std::make_unique<NativeDialect>();
}

// How other gateways reach this one.
Vm ListingOf(const Settings& settings, uint16_t peer_port) {
  Vm vm;
  vm.name = settings.id.value;
  vm.role = VmRole::kGateway;
  vm.zone = settings.zone;
  vm.address = settings.peers.address;
  vm.port = peer_port;
  return vm;
}

/// Keeps SIGHUP pending while nothing handles it; its default action ends the process.
class HangUpHold {
 public:
  HangUpHold() {
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGHUP);
    sigprocmask(SIG_BLOCK, &signals_, nullptr);
  }
  void Release() const { sigprocmask(SIG_UNBLOCK, &signals_, nullptr); }

 private:
  sigset_t signals_{};
};

// What can change while the process runs is the log level; the rest takes effect at the next start.
// A file with faults changes nothing.
void Reload(const std::string& file, Settings* settings) {
  try {
    const Settings read = LoadSettings(file);
    SetUpLog(read.log_level);
    settings->log_level = read.log_level;
    LogInfo(LogPart::kGateway, "event=reload file=" + file + " log_level=" + read.log_level);
  } catch (const SettingsError& error) {
    LogWarning(LogPart::kGateway, std::string("event=reload-refused fault=") + error.what());
  }
}

std::string SettingsFile(const std::map<std::string, docopt::value>& options) {
  const docopt::value& file = options.at("--config");
  if (file) {
    return file.asString();
  }
  const char* variable = std::getenv("JACKDAWDECK_NODE_FILE");
  return variable == nullptr ? std::string() : std::string(variable);
}

}  // namespace

int RunGatewayCommand(const std::vector<std::string>& arguments) {
  const HangUpHold hang_up_hold;
  const auto options = docopt::docopt_parse(kGatewayUsage, arguments, true, false);
  Settings settings;
  try {
    settings = LoadSettings(SettingsFile(options));
  } catch (const SettingsError& error) {
    std::cerr << error.what() << "\n";
    return kCommandUsage;
  }
  try {
    EventLoop loop;
    SetUpLog(settings.log_level);
    PeerLinks links(loop.base(), {settings.peers.address, settings.peers.port, settings.shared_key,
                                  settings.added_peer_delay});
    const std::unique_ptr<const HttpDialect> dialect = DialectFor(settings);
    Gateway gateway(&loop, settings, links.port(), dialect.get());
    Connect(&links, &gateway);
    std::unique_ptr<PlatformDiscovery> discovery;
    if (settings.uses_discovery) {
      discovery = std::make_unique<PlatformDiscovery>(
          &loop, settings.platform.address, settings.platform.port,
          ListingOf(settings, links.port()), std::random_device()());
      discovery->table_read().connect(sigc::mem_fun(gateway, &Gateway::OnTableRead));
      gateway.table_update_received().connect(
          sigc::mem_fun(*discovery, &PlatformDiscovery::OnNews));
      discovery->updated().connect(sigc::mem_fun(gateway, &Gateway::OnDiscovery));
    }
    const SignalWatch terminate(&loop, SIGTERM, [&gateway] { gateway.Stop(); });
    const SignalWatch interrupt(&loop, SIGINT, [&gateway] { gateway.Stop(); });
    const SignalWatch reload(&loop, SIGHUP, [&] { Reload(SettingsFile(options), &settings); });
    hang_up_hold.Release();
    gateway.stopped().connect([&loop] { loop.Stop(); });
    gateway.Start();
    if (discovery != nullptr) {
      discovery->Start();
    }
    loop.Run();
  } catch (const std::exception& error) {
    std::cerr << "jackdawdeck: " << error.what() << "\n";
    return kCommandFailed;
  }
  return kCommandDone;
}

}  // namespace jd
