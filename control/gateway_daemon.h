#pragma once

#include <memory>

#include "gateway/gateway.h"
#include "gateway/peer_links.h"
#include "gateway/settings.h"
#include "net/event_loop.h"
#include "platform/platform_discovery.h"

namespace jd {

/// The parts of a gateway process, connected with each other: the links to peers, the gateway and,
/// if the settings name the platform's store as source, the discovery from it.
class GatewayDaemon {
 public:
  /// Opens the ports for callers, status pages and peers.
  /// @param loop must outlive the daemon.
  /// @throws ListenError if a port cannot be opened.
  GatewayDaemon(EventLoop* loop, const Settings& settings);
  GatewayDaemon(const GatewayDaemon&) = delete;
  GatewayDaemon& operator=(const GatewayDaemon&) = delete;

  void Start();
  /// Begins a graceful stop; the event loop ends when it is complete.
  void Stop() { gateway_.Stop(); }

 private:
  void ConnectLinks();
  void ConnectDiscovery();

  EventLoop* loop_;
  PeerLinks links_;
  std::unique_ptr<const HttpDialect> dialect_;
  Gateway gateway_;
  std::unique_ptr<PlatformDiscovery> discovery_;  ///< Null without the platform's store.
};

/// Opens the ports of a gateway process. Waits for ports that another process holds, up to
/// PortWait::kMaxWait.
/// @throws ListenError if a port cannot be opened, or not in time.
std::unique_ptr<GatewayDaemon> OpenGatewayDaemon(EventLoop* loop, const Settings& settings);

}  // namespace jd
