#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/event_loop.h"
#include "net/http_connection.h"

namespace jd {

/// A request to a server with a JSON API.
struct HttpCall {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string target;  ///< Path and query.
  std::string body;    ///< JSON; ignored if the method is GET.
};

/// The result of an HttpCall.
struct HttpReply {
  int status = 0;  ///< HTTP status; 0 if no complete response was received.
  HttpHeaders headers;
  std::string body;
  bool request_written = false;  ///< A byte of the request may have reached the server.
};

/// Percent-encodes a string for use in a URL query.
std::string EscapeQuery(const std::string& text);

/// Sends requests to one server over persistent connections. Never sends a request twice.
class HttpClient {
 public:
  using Done = std::function<void(const HttpReply&)>;

  HttpClient(EventLoop* loop, std::string address, uint16_t port);

  /// Sends a request. Calls `done` exactly once, possibly before Send returns.
  /// @param timeout limit for the whole exchange.
  void Send(const HttpCall& call, Duration timeout, Done done);

 private:
  /// A request that has been sent and whose result has not been reported.
  struct Pending {
    std::unique_ptr<HttpConnection> connection;
    std::unique_ptr<Timer> timer;
    Done done;
  };

  std::unique_ptr<HttpConnection> AcquireConnection();
  void OnExchangeDone(uint64_t id, const HttpExchange& exchange);
  void OnTimeout(uint64_t id);
  /// Destroys the connection and the timer later, outside their own callbacks.
  void Discard(Pending pending);

  EventLoop* loop_;
  std::string address_;
  uint16_t port_;
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, Pending> pending_;
  std::vector<std::unique_ptr<HttpConnection>> idle_;
  /// Connections and timers to be destroyed by discard_timer_, because they must not be destroyed
  /// inside their own callbacks.
  std::vector<Pending> discarded_;
  Timer discard_timer_;
};

}  // namespace jd
