#include "net/http_connection.h"

#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cassert>
#include <cerrno>
#include <stdexcept>

namespace jd {
namespace {

// The kernel closes the connection to an unresponsive server after about
// kKeepAliveSeconds * (1 + kKeepAliveProbes).
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 2;

}  // namespace

std::string HeaderValue(const evkeyvalq* headers, const char* name) {
  const char* value = evhttp_find_header(headers, name);
  return value == nullptr ? std::string() : std::string(value);
}

HttpConnection::HttpConnection(event_base* base,
                               const std::string& address,
                               uint16_t port,
                               const Limits& limits)
    : response_ready_event_(event_new(base, -1, 0, &OnResponseReady, this)),
      connection_(evhttp_connection_base_new(base, nullptr, address.c_str(), port)) {
  if (response_ready_event_ == nullptr || connection_ == nullptr) {
    throw std::runtime_error("cannot create a connection to " + address);
  }
  // Disables libevent's own retries: only the dispatcher decides whether to retry a request.
  evhttp_connection_set_retries(connection_.get(), 0);
  evhttp_connection_set_max_headers_size(connection_.get(), limits.header_bytes);
  evhttp_connection_set_max_body_size(connection_.get(), limits.body_bytes);
  evhttp_connection_set_closecb(connection_.get(), &OnClose, this);
  bufferevent* stream = evhttp_connection_get_bufferevent(connection_.get());
  evbuffer_add_cb(bufferevent_get_output(stream), &OnOutputChange, this);
  evbuffer_add_cb(bufferevent_get_input(stream), &OnInputChange, this);
}

HttpConnection::~HttpConnection() {
  evhttp_connection_set_closecb(connection_.get(), nullptr, nullptr);
}

void HttpConnection::Send(evhttp_cmd_type method,
                          const std::string& target,
                          const HttpHeaders& headers,
                          evbuffer* body,
                          Done done) {
  assert(done_ == nullptr);
  done_ = std::move(done);
  request_written_ = false;
  response_started_ = false;
  evhttp_request* request = evhttp_request_new(&OnResponse, this);
  if (request == nullptr) {
    throw std::bad_alloc();
  }
  evkeyvalq* output = evhttp_request_get_output_headers(request);
  for (const auto& [name, value] : headers) {
    evhttp_add_header(output, name.c_str(), value.c_str());
  }
  if (body != nullptr) {
    // evhttp adds Content-Length for POST and PUT only. Without the header, the server would parse
    // the body as another request.
    const std::string length = std::to_string(evbuffer_get_length(body));
    evhttp_add_header(output, "Content-Length", length.c_str());
    evbuffer_add_buffer(evhttp_request_get_output_buffer(request), body);
  }
  if (evhttp_make_request(connection_.get(), request, method, target.c_str()) != 0) {
    usable_ = false;
    ReportResult({});
  }
}

void HttpConnection::SetSocketOptions() {
  const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_.get()));
  const auto set = [descriptor](int level, int option, int value) {
    setsockopt(descriptor, level, option, &value, sizeof(value));
  };
  set(IPPROTO_TCP, TCP_NODELAY, 1);
  if (tcp_keep_alive_) {
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, kKeepAliveSeconds * kKeepAliveProbes * 1000);
  }
}

HttpExchange HttpConnection::Abandon() {
  done_ = nullptr;
  response_.reset();
  usable_ = false;
  return {nullptr, request_written_, response_started_};
}

bool HttpConnection::PeerClosed() const {
  const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_.get()));
  char byte = 0;
  return descriptor >= 0 && recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

void HttpConnection::ReportResult(HttpExchange exchange) {
  if (done_ == nullptr) {
    return;
  }
  const Done done = std::move(done_);
  done_ = nullptr;
  exchange.request_written = request_written_;
  exchange.response_started = response_started_;
  done(std::move(exchange));
}

void HttpConnection::OnResponse(evhttp_request* request, void* argument) {
  auto* self = static_cast<HttpConnection*>(argument);
  if (self->done_ == nullptr) {
    return;
  }
  // libevent reports a failed connection attempt as a request with status 0.
  if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
    self->usable_ = false;
    self->ReportResult({});
    return;
  }
  // libevent reads an owned request once more after this callback returns, so the request must not
  // be freed before. Therefore `done_` is called later, from another event.
  evhttp_request_own(request);
  self->response_.reset(request);
  event_active(self->response_ready_event_.get(), EV_TIMEOUT, 0);
}

void HttpConnection::OnResponseReady(evutil_socket_t, short, void* argument) {
  auto* self = static_cast<HttpConnection*>(argument);
  self->ReportResult({std::move(self->response_)});
}

void HttpConnection::OnClose(evhttp_connection*, void* argument) {
  static_cast<HttpConnection*>(argument)->usable_ = false;
}

void HttpConnection::OnOutputChange(evbuffer*, const evbuffer_cb_info* info, void* argument) {
  auto* self = static_cast<HttpConnection*>(argument);
  if (info->n_added > 0 && !self->socket_options_set_) {
    // Sets TCP_NODELAY among others. Without it, Nagle's algorithm delays the second segment of a
    // request by up to 40 ms.
    self->socket_options_set_ = true;
    self->SetSocketOptions();
  }
  // Bytes are removed from the buffer when they are written to the socket, or when a failed
  // connection is reset. Both cases count as written, so that a request which may have reached the
  // server is never treated as unsent.
  if (info->n_deleted > 0) {
    self->request_written_ = true;
  }
}

void HttpConnection::OnInputChange(evbuffer*, const evbuffer_cb_info* info, void* argument) {
  if (info->n_added > 0) {
    static_cast<HttpConnection*>(argument)->response_started_ = true;
  }
}

}  // namespace jd
