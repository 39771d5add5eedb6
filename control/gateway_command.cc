#include "control/gateway_command.h"

#include <docopt/docopt.h>
#include <csignal>

#include <iostream>

#include "control/command.h"
#include "gateway/gateway.h"
#include "gateway/log.h"
#include "gateway/peer_links.h"
#include "gateway/settings.h"
#include "platform/event_loop.h"

namespace jd {

namespace {

void Connect(PeerLinks* links, Gateway* gateway) {
  gateway->send_peer().connect([links](const SendPeer& action) { links->Send(action); });
  gateway->set_peer_address().connect(
      [links](const SetPeerAddress& action) { links->SetPeerAddress(action); });
  gateway->operator_reply().connect([links](const OperatorReply& reply) { links->Reply(reply); });
  gateway->SetPeerTraffic([links] { return links->traffic(); });
  links->message_received().connect(
      [gateway](const PeerMessage& message) { gateway->OnPeerMessage(message); });
  links->operator_request_received().connect(
      [gateway](const OperatorRequest& request) { gateway->OnOperatorRequest(request); });
}

}  // namespace

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
    PeerLinks links(loop.base(), {settings.peers.address, settings.peers.port, settings.shared_key,
                                  settings.peer_delay});
    Gateway gateway(&loop, settings, links.port());
    Connect(&links, &gateway);
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
