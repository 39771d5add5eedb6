#pragma once

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "standin/loopback.h"

namespace jd {

/// Runs the event loop until `done` holds. @return false if it does not hold within 10 seconds.
inline bool RunUntil(EventLoop* loop, const std::function<bool()>& done) {
  bool expired = false;
  Timer poll_timer(loop, [] {});
  Timer timeout(loop, [&] { expired = true; });
  timeout.Schedule(10s);
  while (!done() && !expired) {
    poll_timer.Schedule(5ms);
    loop->RunOnce();
  }
  return done();
}

/// One end of a TCP connection. It sends and records raw text, so that tests control every byte.
class TextConnection {
 public:
  /// Uses a connected socket.
  TextConnection(EventLoop* loop, evutil_socket_t socket)
      : stream_(bufferevent_socket_new(loop->base(), socket, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(stream_, &OnRead, nullptr, &OnEvent, this);
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
  }
  /// Connects to a port of this machine.
  TextConnection(EventLoop* loop, uint16_t port) : TextConnection(loop, -1) {
    const sockaddr_in address = Loopback(port);
    bufferevent_socket_connect(stream_, reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address));
  }
  ~TextConnection() { Close(); }
  TextConnection(const TextConnection&) = delete;
  TextConnection& operator=(const TextConnection&) = delete;

  void Send(const std::string& text) { bufferevent_write(stream_, text.data(), text.size()); }
  /// Sends a response that names the latest request received, if that request has an id.
  void Answer(const std::string& response) {
    const std::string name = "x-request-id: ";
    const size_t at = received.rfind(name);
    if (at == std::string::npos) {
      Send(response);
      return;
    }
    const size_t end = received.find("\r\n", at) + 2;
    const size_t status_line_end = response.find("\r\n") + 2;
    Send(response.substr(0, status_line_end) + received.substr(at, end - at) +
         response.substr(status_line_end));
  }
  void Close() {
    if (stream_ != nullptr) {
      shutdown(bufferevent_getfd(stream_), SHUT_RDWR);  // bufferevent_free closes the socket later.
      bufferevent_free(stream_);
      stream_ = nullptr;
    }
  }
  /// Returns how often `text` was received.
  size_t Count(const std::string& text) const {
    size_t count = 0;
    for (size_t at = 0; (at = received.find(text, at)) != std::string::npos; at += text.size()) {
      ++count;
    }
    return count;
  }

  std::string received;
  bool closed = false;  ///< The other end has closed the connection, or it has failed.
  std::function<void()> on_read;

 private:
  static void OnRead(bufferevent* stream, void* argument) {
    auto* self = static_cast<TextConnection*>(argument);
    evbuffer* input = bufferevent_get_input(stream);
    std::string text(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, text.data(), text.size());
    self->received += text;
    if (self->on_read) {
      self->on_read();
    }
  }
  static void OnEvent(bufferevent*, short what, void* argument) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      static_cast<TextConnection*>(argument)->closed = true;
    }
  }
  bufferevent* stream_;
};

/// A TCP server on a free port. Requests are answered by `on_request`, or by the test directly
/// through `connections`.
class TextServer {
 public:
  explicit TextServer(EventLoop* loop) : loop_(loop) {
    const sockaddr_in address = Loopback(0);
    listener_ =
        evconnlistener_new_bind(loop->base(), &OnAccept, this,
                                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                -1, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&bound), &size);
    port = ntohs(bound.sin_port);
  }
  ~TextServer() { StopListening(); }
  TextServer(const TextServer&) = delete;
  TextServer& operator=(const TextServer&) = delete;

  void StopListening() {
    if (listener_ != nullptr) {
      evconnlistener_free(listener_);
      listener_ = nullptr;
    }
  }
  /// Returns the number of requests whose headers have arrived completely, on all connections.
  size_t requests() const {
    size_t count = 0;
    for (const auto& connection : connections) {
      count += connection->Count("\r\n\r\n");
    }
    return count;
  }
  /// Returns the text received on all connections.
  std::string received() const {
    std::string all;
    for (const auto& connection : connections) {
      all += connection->received;
    }
    return all;
  }

  uint16_t port = 0;
  std::vector<std::unique_ptr<TextConnection>> connections;
  /// Called with the connection each time that the headers of a request have arrived completely.
  std::function<void(TextConnection&)> on_request;

 private:
  static void OnAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* argument) {
    auto* self = static_cast<TextServer*>(argument);
    self->connections.push_back(std::make_unique<TextConnection>(self->loop_, socket));
    TextConnection* connection = self->connections.back().get();
    connection->on_read = [self, connection, seen = size_t{0}]() mutable {
      while (seen < connection->Count("\r\n\r\n")) {
        ++seen;
        if (self->on_request) {
          self->on_request(*connection);
        }
      }
    };
  }
  EventLoop* loop_;
  evconnlistener* listener_;
};

/// Returns the text of an HTTP response.
/// @param status code and reason phrase, for example "200 OK".
/// @param headers additional headers, each ending with "\r\n".
inline std::string HttpResponse(const std::string& status,
                                const std::string& headers,
                                const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace jd
