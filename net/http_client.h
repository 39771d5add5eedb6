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

/// A request to a server that speaks JSON.
struct HttpCall {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string target;
  std::string body;  ///< JSON; sent with POST and PUT only.
};

/// Returns a text as part of a query.
std::string EscapeQuery(const std::string& text);

/// Sends requests to one server over connections that it keeps. No request is ever sent twice.
class HttpClient {
 public:
  /// @param status 0 if no whole response arrived. @param written a byte of the request may have
  /// reached the server.
  using Done = std::function<void(int status, const std::string& body, bool written)>;

  HttpClient(EventLoop* loop, std::string address, uint16_t port);

  /// `done` is called once, perhaps before this returns.
  void Send(const HttpCall& call, Duration timeout, Done done);

 private:
  struct Pending {
    std::unique_ptr<HttpConnection> connection;
    std::unique_ptr<Timer> timer;
    Done done;
  };

  std::unique_ptr<HttpConnection> TakeConnection();
  void Finish(uint64_t id, const HttpExchange& exchange);
  void TimeOut(uint64_t id);
  void Discard(Pending pending);

  EventLoop* loop_;
  std::string address_;
  uint16_t port_;
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, Pending> pending_;
  std::vector<std::unique_ptr<HttpConnection>> idle_;
  std::vector<Pending> discarded_;  ///< Destroyed outside their own callbacks.
  Timer discard_timer_;
};

}  // namespace jd
