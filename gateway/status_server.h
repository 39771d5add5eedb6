#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "gateway/http_server.h"
#include "gateway/settings.h"
#include "net/event_loop.h"

namespace jd {

/// The HTTP server of the status port. Its read-only pages are the readiness check, /live and
/// /metrics.
class StatusServer {
 public:
  /// @param ready_path path of the readiness check.
  /// @param is_ready returns whether the platform's balancer may send calls to the gateway.
  /// @param render_metrics returns the body of the page /metrics.
  /// @throws std::runtime_error if the port cannot be opened.
  StatusServer(EventLoop* loop,
               const ListenAddress& address,
               std::string ready_path,
               std::function<bool()> is_ready,
               std::function<std::string()> render_metrics);
  StatusServer(const StatusServer&) = delete;
  StatusServer& operator=(const StatusServer&) = delete;

  uint16_t port() const { return port_; }

 private:
  static void OnRequest(evhttp_request* request, void* argument);

  uint16_t port_ = 0;
  std::string ready_path_;
  std::function<bool()> is_ready_;
  std::function<std::string()> render_metrics_;
  HttpServerPtr http_;
};

}  // namespace jd
