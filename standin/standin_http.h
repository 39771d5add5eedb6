#pragma once

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace jd {

struct EvhttpDeleter {
  void operator()(evhttp* http) const { evhttp_free(http); }
};

/// An HTTP server that listens on one loopback port.
class StandinHttp {
 public:
  using Handler = std::function<void(evhttp_request*)>;

  /// @throws std::runtime_error if the port is in use.
  StandinHttp(event_base* base, uint16_t port, Handler handler);
  StandinHttp(const StandinHttp&) = delete;
  StandinHttp& operator=(const StandinHttp&) = delete;

  /// Closes the listening socket, so that the kernel refuses new connections.
  void CloseListener();
  /// Opens the listening socket again if it is closed. @throws std::runtime_error if the port is in
  /// use.
  void OpenListener();

 private:
  std::unique_ptr<evhttp, EvhttpDeleter> http_;
  uint16_t port_;
  Handler handler_;
  evhttp_bound_socket* socket_ = nullptr;
};

/// A network address.
struct HostPort {
  std::string host;
  uint16_t port = 0;
  auto operator<=>(const HostPort&) const = default;
};
/// Parses "http://host:port" or "host:port". @throws std::exception if there is no valid port.
HostPort ParseHostPort(const std::string& text);

std::string RequestMethod(evhttp_request* request);
/// Returns the path of the request without the query.
std::string RequestPath(evhttp_request* request);
/// Returns the decoded value of a query parameter, or `default_value` if it is absent.
std::string QueryValue(evhttp_request* request, const char* name, const std::string& default_value);
/// Returns the value of a header of the received message, or an empty string if it is absent.
std::string HeaderValue(evhttp_request* request, const char* name);
/// Returns the body of the received message.
std::string ReadBody(evhttp_request* request);
/// Shuts down both directions of a connection, so that the other side sees it closed.
void ShutDownConnection(evhttp_connection* connection);
/// Closes the connection of a request without an answer and frees the request.
void CloseWithoutReply(evhttp_request* request);
void ReplyText(evhttp_request* request, int status, const std::string& text);
void ReplyJson(evhttp_request* request, int status, const nlohmann::json& body);

}  // namespace jd
