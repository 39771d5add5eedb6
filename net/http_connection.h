#pragma once

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/http_message.h"
#include "net/http_response_reader.h"
#include "net/libevent_ptr.h"
#include "net/response_memory.h"

namespace jd {

/// The result of one request on a client connection.
struct HttpExchange {
  HttpResponsePtr response;       ///< The complete response, or null.
  bool request_written = false;   ///< A byte of the request may have reached the socket.
  bool response_started = false;  ///< A byte of the response was received.
  /// Why the bytes received are no response; empty if they are one, or if none arrived.
  std::string error;
};

/// A client connection, which carries one request at a time and never sends a request twice: a
/// failed connection is not reopened. Do not destroy a connection inside its own callbacks.
class HttpConnection {
 public:
  using Done = std::function<void(HttpExchange)>;
  /// Returns whether a response answers another request than the one in progress.
  using IsForeign = std::function<bool(const HttpResponse&)>;
  using Limits = HttpResponseLimits;

  /// The first call of Send opens the connection.
  /// @param address IP address of the server.
  /// @param memory limits the responses of several connections together; must outlive the
  /// connection; null for no limit.
  /// @throws std::runtime_error if the address is not an IP address.
  HttpConnection(event_base* base,
                 const std::string& address,
                 uint16_t port,
                 const Limits& limits,
                 ResponseMemory* memory = nullptr);
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Sends a request and calls `done` once. If the request fails, `done` may be called before Send
  /// returns.
  /// @param body body of the request, whose bytes are moved out of the buffer; may be null.
  /// @param is_foreign if set, a foreign response before the response to this request is dropped.
  /// The connection is not usable afterwards.
  void Send(evhttp_cmd_type method,
            const std::string& target,
            const HttpHeaders& headers,
            evbuffer* body,
            Done done,
            IsForeign is_foreign = nullptr);
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
  /// @return false if the connection cannot be opened.
  bool Open();
  void WriteRequest(evhttp_cmd_type method,
                    const std::string& target,
                    const HttpHeaders& headers,
                    evbuffer* body);
  void OnInput();
  /// Counts the bytes of the incomplete response; fails the exchange if they are too many.
  void CountResponseBytes();
  void OnResponse();
  void OnStreamEnd();
  void Close();
  void ReportResult(HttpExchange exchange);
  void SetSocketOptions();
  static void OnReadable(bufferevent* stream, void* argument);
  static void OnEvent(bufferevent* stream, short what, void* argument);
  static void OnOutputChange(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);

  Limits limits_;
  ResponseMemory::Part memory_;
  socklen_t address_size_ = 0;  // Declared before address_, whose initializer sets it.
  sockaddr_storage address_{};
  Done done_;
  IsForeign is_foreign_;
  std::unique_ptr<HttpResponseReader> reader_;
  bool head_request_ = false;
  bool opened_ = false;
  bool tcp_keep_alive_ = false;
  bool usable_ = true;
  bool foreign_response_dropped_ = false;
  bool request_written_ = false;
  bool response_started_ = false;
  // Declared last and so destroyed first, because freeing the stream may invoke callbacks that use
  // the other members.
  LibeventPtr<bufferevent> stream_;
};

}  // namespace jd
