#include "standin/standin_http.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <stdexcept>
#include <utility>

namespace jd {
namespace {

constexpr uint16_t kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                                 EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS |
                                 EVHTTP_REQ_PATCH;

}  // namespace

StandinHttp::StandinHttp(event_base* base, uint16_t port, Handler handler)
    : http_(evhttp_new(base)), port_(port), handler_(std::move(handler)) {
  evhttp_set_allowed_methods(http_.get(), kAllMethods);
  evhttp_set_gencb(
      http_.get(),
      [](evhttp_request* request, void* arg) { static_cast<StandinHttp*>(arg)->handler_(request); },
      this);
  OpenListener();
}

void StandinHttp::CloseListener() {
  if (socket_ != nullptr) {
    evhttp_del_accept_socket(http_.get(), socket_);
    socket_ = nullptr;
  }
}

void StandinHttp::OpenListener() {
  if (socket_ != nullptr) {
    return;
  }
  socket_ = evhttp_bind_socket_with_handle(http_.get(), "127.0.0.1", port_);
  if (socket_ == nullptr) {
    throw std::runtime_error("cannot listen on 127.0.0.1:" + std::to_string(port_) +
                             "; the port may be in use");
  }
}

HostPort ParseHostPort(const std::string& text) {
  const std::string address = text.starts_with("http://") ? text.substr(7) : text;
  const size_t colon = address.find(':');
  if (colon == std::string::npos) {
    throw std::runtime_error("address is not of the form host:port: " + text);
  }
  const int port = std::stoi(address.substr(colon + 1));
  return HostPort{address.substr(0, colon), static_cast<uint16_t>(port)};
}

std::string RequestMethod(evhttp_request* request) {
  switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "POST";
  }
}

std::string RequestPath(evhttp_request* request) {
  const char* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  return path == nullptr ? std::string() : std::string(path);
}

std::string QueryValue(evhttp_request* request,
                       const char* name,
                       const std::string& default_value) {
  const char* query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
  if (query == nullptr) {
    return default_value;
  }
  evkeyvalq values{};
  if (evhttp_parse_query_str(query, &values) != 0) {
    return default_value;
  }
  const char* found = evhttp_find_header(&values, name);
  std::string value = found == nullptr ? default_value : std::string(found);
  evhttp_clear_headers(&values);
  return value;
}

std::string HeaderValue(evhttp_request* request, const char* name) {
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
  return value == nullptr ? std::string() : std::string(value);
}

std::string ReadBody(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, body.data(), body.size());
  return body;
}

void ShutDownConnection(evhttp_connection* connection) {
  shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), SHUT_RDWR);
}

void CloseWithoutReply(evhttp_request* request) {
  if (evhttp_connection* connection = evhttp_request_get_connection(request)) {
    ShutDownConnection(connection);
  }
  // evhttp detects the closed connection while it sends, and frees the connection and the request.
  evhttp_send_reply(request, 500, nullptr, nullptr);
}

void ReplyText(evhttp_request* request, int status, const std::string& text) {
  evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
  evhttp_send_reply(request, status, nullptr, nullptr);
}

void ReplyJson(evhttp_request* request, int status, const nlohmann::json& body) {
  evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type", "application/json");
  ReplyText(request, status, body.dump());
}

}  // namespace jd
