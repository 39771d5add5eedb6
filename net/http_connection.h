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

/// Returns a header's value, or an empty text.
std::string HeaderValue(const evkeyvalq* headers, const char* name);

/// How an exchange on a client connection ended.
struct HttpExchange {
  HttpRequestPtr response;        ///< The whole response, or null.
  bool request_written = false;   ///< A byte of the request may have reached the socket.
  bool response_started = false;  ///< A byte of the response arrived.
};

/// A client connection that carries one request at a time and never sends a request twice: a
/// connection that fails is not opened again. Do not destroy it inside its own callbacks.
class HttpConnection {
 public:
  using Done = std::function<void(HttpExchange)>;

  struct Limits {
    int64_t header_bytes = 65536;
    int64_t body_bytes = 16 << 20;
  };

  /// @param address IP number; the connection is opened by the first Send.
  HttpConnection(event_base* base, const std::string& address, uint16_t port, const Limits& limits);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sends a request; `done` is called once, without a response perhaps before this returns.
  /// @param body is moved from; may be null.
  void Send(evhttp_cmd_type method,
            const std::string& target,
            const HttpHeaders& headers,
            evbuffer* body,
            Done done);
  /// Drops the exchange under way without calling `done`; the connection must not be used again.
  /// @return what had happened so far.
  HttpExchange Abandon();

  /// Lets the system find out within seconds that the peer no longer answers.
  void KeepAlive() { keep_alive_ = true; }
  bool request_written() const { return request_written_; }
  bool response_started() const { return response_started_; }
  /// May carry another request: open, or not yet opened.
  bool usable() const { return usable_; }
  /// Notices a peer that closed the idle connection before the loop reports it.
  bool PeerClosed() const;

 private:
  void Finish(HttpExchange exchange);
  void SetSocketOptions();
  static void OnResponse(evhttp_request* request, void* argument);
  static void OnReady(evutil_socket_t, short, void* argument);
  static void OnClose(evhttp_connection* connection, void* argument);
  static void OnOutput(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);
  static void OnInput(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);

  Done done_;
  HttpRequestPtr response_;  ///< Has arrived, and `done` is still to be called.
  LibeventPtr<event> ready_;
  bool opened_ = false;
  bool keep_alive_ = false;
  bool usable_ = true;
  bool request_written_ = false;
  bool response_started_ = false;
  // Last, because freeing it calls back.
  LibeventPtr<evhttp_connection> connection_;
};

}  // namespace jd
