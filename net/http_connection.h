#pragma once

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/libevent_ptr.h"

namespace jd {

using HttpRequestPtr = LibeventPtr<evhttp_request>;
using BufferPtr = LibeventPtr<evbuffer>;
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of a header, or an empty string if the header is absent.
std::string HeaderValue(const evkeyvalq* headers, const char* name);

/// The result of one request on a client connection.
struct HttpExchange {
  HttpRequestPtr response;        ///< The complete response, or null.
  bool request_written = false;   ///< A byte of the request may have reached the socket.
  bool response_started = false;  ///< A byte of the response was received.
};

/// A client connection, which carries one request at a time and never sends a request twice: a
/// failed connection is not reopened. Do not destroy a connection inside its own callbacks.
class HttpConnection {
 public:
  using Done = std::function<void(HttpExchange)>;

  /// Maximum sizes of a response.
  struct Limits {
    int64_t header_bytes = 65536;
    int64_t body_bytes = 16 << 20;
  };

  /// The first call of Send opens the connection.
  /// @param address IP address of the server.
  HttpConnection(event_base* base, const std::string& address, uint16_t port, const Limits& limits);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sends a request and calls `done` once. If the request fails, `done` may be called before Send
  /// returns.
  /// @param body body of the request, whose bytes are moved out of the buffer; may be null.
  void Send(evhttp_cmd_type method,
            const std::string& target,
            const HttpHeaders& headers,
            evbuffer* body,
            Done done);
  /// Stops waiting for the response of the current request, without calling `done`. The connection
  /// must not be used again.
  /// @return the state of the exchange, without a response.
  HttpExchange Abandon();

  /// Enables TCP keep-alive, so that the kernel detects an unresponsive server within seconds. Must
  /// be called before the first Send.
  void EnableTcpKeepAlive() { tcp_keep_alive_ = true; }
  bool request_written() const { return request_written_; }
  bool response_started() const { return response_started_; }
  /// Returns whether the connection can carry another request, which includes a connection that has
  /// not been opened yet.
  bool usable() const { return usable_; }
  /// Returns whether the server has closed the idle connection, or has sent bytes that answer no
  /// request. Reads the socket directly, so a close is noticed before the event loop reports it.
  bool PeerClosed() const;

 private:
  void ReportResult(HttpExchange exchange);
  void SetSocketOptions();
  static void OnResponse(evhttp_request* request, void* argument);
  static void OnResponseReady(evutil_socket_t, short, void* argument);
  static void OnClose(evhttp_connection* connection, void* argument);
  static void OnOutputChange(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);
  static void OnInputChange(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);

  Done done_;
  HttpRequestPtr response_;  ///< Response that was received and not yet passed to `done_`.
  LibeventPtr<event> response_ready_event_;
  bool socket_options_set_ = false;
  bool tcp_keep_alive_ = false;
  bool usable_ = true;
  bool request_written_ = false;
  bool response_started_ = false;
  // Declared last and so destroyed first, because freeing the connection invokes callbacks that use
  // the other members.
  LibeventPtr<evhttp_connection> connection_;
};

}  // namespace jd
