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

// Connects the signals of the gateway and of its links to peers with each other's functions.
void ConnectSignals(PeerLinks* links, Gateway* gateway) {
  gateway->send_peer_message().connect(
      [links](const SendPeerMessage& action) { links->SendMessage(action); });
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

std::unique_ptr<const HttpDialect> MakeDialect(const Settings& settings) {
  if (settings.uses_discovery) {
    return std::make_unique<PlatformDialect>();
  }
  return std::make_unique<NativeDialect>();
}

// Returns this gateway's entry in the table of gateways, from which other gateways connect to it.
Vm MakeRegistryEntry(const Settings& settings, uint16_t peer_port) {
  Vm vm;
  vm.name = settings.id.value;
  vm.role = VmRole::kGateway;
  vm.zone = settings.zone;
  vm.address = settings.peers.address;
  vm.port = peer_port;
  return vm;
}

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
    PeerLinks links(loop.base(), {settings.peers.address, settings.peers.port, settings.shared_key,
                                  settings.accepted_key, settings.added_peer_delay});
    const std::unique_ptr<const HttpDialect> dialect = MakeDialect(settings);
    Gateway gateway(&loop, settings, links.port(), dialect.get());
    ConnectSignals(&links, &gateway);
    std::unique_ptr<PlatformDiscovery> discovery;
    if (settings.uses_discovery) {
      discovery = std::make_unique<PlatformDiscovery>(
          &loop, settings.platform.address, settings.platform.port,
          MakeRegistryEntry(settings, links.port()), settings.new_deployment,
          std::random_device()());
      discovery->tables_wanted().connect(sigc::mem_fun(gateway, &Gateway::RequestTables));
      discovery->table_ready().connect(sigc::mem_fun(gateway, &Gateway::SendTable));
      gateway.table_fetch_received().connect(
          sigc::mem_fun(*discovery, &PlatformDiscovery::OnTableFetch));
      discovery->table_read().connect(sigc::mem_fun(gateway, &Gateway::OnTableRead));
      gateway.table_update_received().connect(
          sigc::mem_fun(*discovery, &PlatformDiscovery::OnPeerUpdate));
      discovery->updated().connect(sigc::mem_fun(gateway, &Gateway::OnDiscovery));
    }
    const SignalWatch terminate(&loop, SIGTERM, [&gateway] { gateway.Stop(); });
    const SignalWatch interrupt(&loop, SIGINT, [&gateway] { gateway.Stop(); });
    const SignalWatch reload(&loop, SIGHUP,
                             [&] { ReloadSettings(SettingsPath(options), &settings); });
    sighup_blocker.Unblock();
    gateway.stopped().connect([&loop] { loop.Stop(); });
    gateway.Start();
    if (discovery != nullptr) {
      discovery->Start();
    }
    loop.Run();
  } catch (const std::exception& error) {
    std::cerr << "jackdawdeck: " << error.what() << "\n";
    return kExitFailure;
  }
  return kExitSuccess;
}

}  // namespace jd
