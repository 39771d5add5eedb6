#include "control/gateway_daemon.h"

#include <random>
#include <string>
#include <thread>

#include "control/port_wait.h"
#include "gateway/log.h"
#include "net/listen_error.h"
#include "platform/platform_dialect.h"

namespace jd {
namespace {

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

}  // namespace

GatewayDaemon::GatewayDaemon(EventLoop* loop, const Settings& settings)
    : loop_(loop),
      links_(loop->base(),
             {settings.peers.address, settings.peers.port, settings.shared_key,
              settings.accepted_key, settings.added_peer_delay}),
      dialect_(MakeDialect(settings)),
      gateway_(loop, settings, links_.port(), dialect_.get()) {
  ConnectLinks();
  if (settings.uses_discovery) {
    discovery_ =
        std::make_unique<PlatformDiscovery>(loop, settings.platform.address, settings.platform.port,
                                            MakeRegistryEntry(settings, links_.port()),
                                            settings.new_deployment, std::random_device()());
    ConnectDiscovery();
  }
  gateway_.stopped().connect([this] { loop_->Stop(); });
}

void GatewayDaemon::ConnectLinks() {
  gateway_.send_peer_message().connect(
      [this](const SendPeerMessage& action) { links_.SendMessage(action); });
  gateway_.set_peer_address().connect(
      [this](const SetPeerAddress& action) { links_.SetPeerAddress(action); });
  gateway_.replace_peer_connection().connect(
      [this](const ReplacePeerConnection& action) { links_.ReplaceConnection(action); });
  gateway_.operator_reply().connect(
      [this](const OperatorReply& reply) { links_.SendOperatorReply(reply); });
  gateway_.SetPeerTrafficSource([this] { return links_.traffic(); });
  links_.message_received().connect(
      [this](const PeerMessage& message) { gateway_.OnPeerMessage(message); });
  links_.operator_request_received().connect(
      [this](const OperatorRequest& request) { gateway_.OnOperatorRequest(request); });
}

void GatewayDaemon::ConnectDiscovery() {
  discovery_->tables_wanted().connect(sigc::mem_fun(gateway_, &Gateway::RequestTables));
  discovery_->table_ready().connect(sigc::mem_fun(gateway_, &Gateway::SendTable));
  discovery_->table_read().connect(sigc::mem_fun(gateway_, &Gateway::OnTableRead));
  discovery_->rollout_status_written().connect(
      sigc::mem_fun(gateway_, &Gateway::OnRolloutWriteResult));
  gateway_.rollout_status_write().connect(
      sigc::mem_fun(*discovery_, &PlatformDiscovery::WriteRolloutStatus));
  discovery_->updated().connect(sigc::mem_fun(gateway_, &Gateway::OnDiscovery));
  gateway_.table_fetch_received().connect(
      sigc::mem_fun(*discovery_, &PlatformDiscovery::OnTableFetch));
  gateway_.table_update_received().connect(
      sigc::mem_fun(*discovery_, &PlatformDiscovery::OnPeerUpdate));
}

void GatewayDaemon::Start() {
  gateway_.Start();
  if (discovery_ != nullptr) {
    discovery_->Start();
  }
}

std::unique_ptr<GatewayDaemon> OpenGatewayDaemon(EventLoop* loop, const Settings& settings) {
  const PortWait wait(loop->ReadClocks().mono);
  std::string logged_fault;
  while (true) {
    try {
      return std::make_unique<GatewayDaemon>(loop, settings);
    } catch (const ListenError& error) {
      const MonoTime now = loop->ReadClocks().mono;
      const std::optional<Duration> delay = wait.NextDelay(now);
      if (!error.port_is_busy() || !delay) {
        throw;
      }
      if (logged_fault != error.what()) {
        logged_fault = error.what();
        LogWarning(LogPart::kGateway,
                   "event=port-busy left_ms=" + std::to_string(wait.TimeLeft(now) / 1ms) +
                       " fault='" + logged_fault + "'");
      }
      std::this_thread::sleep_for(*delay);
    }
  }
}

}  // namespace jd
