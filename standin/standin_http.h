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

/// An HTTP server on one loopback port.
class StandinHttp {
 public:
  using Handler = std::function<void(evhttp_request*)>;

  /// Throws std::runtime_error if the port is taken.
  StandinHttp(event_base* base, uint16_t port, Handler handler);
  StandinHttp(const StandinHttp&) = delete;
  StandinHttp& operator=(const StandinHttp&) = delete;

  /// Stops accepting; new connections are refused by the kernel.
  void CloseListener();
  /// Accepts again. Throws std::runtime_error if the port is taken.
  void OpenListener();

 private:
  std::unique_ptr<evhttp, EvhttpDeleter> http_;
  uint16_t port_;
  Handler handler_;
  evhttp_bound_socket* socket_ = nullptr;
};

/// Host and port of an "http://host:port" or "host:port" text. Throws std::runtime_error.
struct HostPort {
  std::string host;
  uint16_t port = 0;
  auto operator<=>(const HostPort&) const = default;
};
HostPort ParseHostPort(const std::string& text);

std::string RequestMethod(evhttp_request* request);
/// Path without the query.
std::string RequestPath(evhttp_request* request);
/// Decoded value of a query parameter, or `fallback`.
std::string QueryValue(evhttp_request* request, const char* name, const std::string& fallback);
/// Value of an input header, or an empty text.
std::string HeaderValue(evhttp_request* request, const char* name);
std::string ReadBody(evhttp_request* request);
/// The other side finds the connection closed.
void ShutDown(evhttp_connection* connection);
/// Ends the connection of a request without an answer.
void DropRequest(evhttp_request* request);
void ReplyText(evhttp_request* request, int status, const std::string& text);
void ReplyJson(evhttp_request* request, int status, const nlohmann::json& body);

}  // namespace jd
