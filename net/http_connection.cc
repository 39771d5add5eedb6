#include "net/http_connection.h"

#include <event2/bufferevent.h>
#include <event2/util.h>
#include <netinet/in.h>

#include <algorithm>
#include <cassert>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "net/socket_options.h"

namespace jd {
namespace {

// The kernel closes the connection to an unresponsive server after about three times as long.
constexpr std::chrono::seconds kKeepAliveIdle{1};

constexpr const char* kMemoryError = "the incomplete responses of all connections are too large";

sockaddr_storage ParseAddress(const std::string& address, uint16_t port, socklen_t* size) {
  sockaddr_storage storage{};
  auto* ipv4 = reinterpret_cast<sockaddr_in*>(&storage);
  auto* ipv6 = reinterpret_cast<sockaddr_in6*>(&storage);
  if (evutil_inet_pton(AF_INET, address.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(port);
    *size = sizeof(*ipv4);
  } else if (evutil_inet_pton(AF_INET6, address.c_str(), &ipv6->sin6_addr) == 1) {
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(port);
    *size = sizeof(*ipv6);
  } else {
    throw std::runtime_error("cannot create a connection to " + address);
  }
  return storage;
}

bool MayHaveBody(evhttp_cmd_type method) {
  return method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT || method == EVHTTP_REQ_PATCH;
}

}  // namespace

HttpConnection::HttpConnection(event_base* base,
                               const std::string& address,
                               uint16_t port,
                               const Limits& limits,
                               ResponseMemory* memory)
    : limits_(limits),
      memory_(memory),
      address_(ParseAddress(address, port, &address_size_)),
      stream_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)) {
  if (stream_ == nullptr) {
    throw std::runtime_error("cannot create a connection to " + address);
  }
  bufferevent_setcb(stream_.get(), &OnReadable, nullptr, &OnEvent, this);
  evbuffer_add_cb(bufferevent_get_output(stream_.get()), &OnOutputChange, this);
}

void HttpConnection::Send(evhttp_cmd_type method,
                          const std::string& target,
                          const HttpHeaders& headers,
                          evbuffer* body,
                          Done done,
                          IsForeign is_foreign) {
  assert(done_ == nullptr);
  done_ = std::move(done);
  is_foreign_ = std::move(is_foreign);
  request_written_ = false;
  response_started_ = false;
  foreign_response_dropped_ = false;
  head_request_ = method == EVHTTP_REQ_HEAD;
  reader_ = std::make_unique<HttpResponseReader>(limits_, head_request_);
  if (!opened_ && !Open()) {
    Close();
    ReportResult({});
    return;
  }
  WriteRequest(method, target, headers, body);
}

bool HttpConnection::Open() {
  opened_ = true;
  if (bufferevent_socket_connect(stream_.get(), reinterpret_cast<const sockaddr*>(&address_),
                                 static_cast<int>(address_size_)) != 0) {
    return false;
  }
  SetSocketOptions();
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  return true;
}

void HttpConnection::WriteRequest(evhttp_cmd_type method,
                                  const std::string& target,
                                  const HttpHeaders& headers,
                                  evbuffer* body) {
  std::string head = MethodName(method) + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    head += name + ": " + OneLine(value) + "\r\n";
  }
  if (body != nullptr || MayHaveBody(method)) {
    const size_t length = body == nullptr ? 0 : evbuffer_get_length(body);
    head += "Content-Length: " + std::to_string(length) + "\r\n";
  }
  head += "\r\n";
  evbuffer* output = bufferevent_get_output(stream_.get());
  // The head and the body are added in one step, so that they leave in one segment if they fit.
  const BufferPtr request(evbuffer_new());
  evbuffer_add(request.get(), head.data(), head.size());
  if (body != nullptr) {
    evbuffer_add_buffer(request.get(), body);
  }
  evbuffer_add_buffer(output, request.get());
}

void HttpConnection::SetSocketOptions() {
  const int descriptor = bufferevent_getfd(stream_.get());
  DisableNagle(descriptor);
  if (tcp_keep_alive_) {
    jd::EnableTcpKeepAlive(descriptor, kKeepAliveIdle);
  }
}

HttpExchange HttpConnection::Abandon() {
  done_ = nullptr;
  Close();
  HttpExchange exchange;
  exchange.request_written = request_written_;
  exchange.response_started = response_started_;
  return exchange;
}

void HttpConnection::Close() {
  usable_ = false;
  memory_.SetBytes(0);
  bufferevent_disable(stream_.get(), EV_READ | EV_WRITE);
}

bool HttpConnection::PeerClosed() const {
  const int descriptor = bufferevent_getfd(stream_.get());
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
  if (reader_ != nullptr && exchange.error.empty()) {
    exchange.error = reader_->error();
  }
  done(std::move(exchange));
}

void HttpConnection::OnReadable(bufferevent*, void* argument) {
  static_cast<HttpConnection*>(argument)->OnInput();
}

void HttpConnection::OnInput() {
  evbuffer* input = bufferevent_get_input(stream_.get());
  if (done_ == nullptr) {
    // Bytes that answer no request, for example a second answer to the last one.
    evbuffer_drain(input, evbuffer_get_length(input));
    Close();
    return;
  }
  response_started_ = true;
  const HttpResponseReader::State state = reader_->Read(input);
  if (state == HttpResponseReader::State::kFailed) {
    Close();
    ReportResult({});
  } else if (state == HttpResponseReader::State::kComplete) {
    memory_.SetBytes(0);
    OnResponse();
  } else {
    CountResponseBytes();
  }
}

void HttpConnection::CountResponseBytes() {
  memory_.SetBytes(reader_->body_bytes() +
                   evbuffer_get_length(bufferevent_get_input(stream_.get())));
  if (memory_.must_fail()) {
    Close();
    HttpExchange exchange;
    exchange.error = kMemoryError;
    ReportResult(std::move(exchange));
  }
}

void HttpConnection::OnResponse() {
  const bool keep_alive = reader_->keep_alive();
  HttpResponsePtr response = reader_->TakeResponse();
  evbuffer* input = bufferevent_get_input(stream_.get());
  if (!foreign_response_dropped_ && keep_alive && is_foreign_ != nullptr &&
      is_foreign_(*response)) {
    foreign_response_dropped_ = true;
    reader_ = std::make_unique<HttpResponseReader>(limits_, head_request_);
    if (evbuffer_get_length(input) > 0) {
      OnInput();
    }
    return;
  }
  if (!keep_alive || foreign_response_dropped_ || evbuffer_get_length(input) > 0) {
    Close();
  }
  HttpExchange exchange;
  exchange.response = std::move(response);
  ReportResult(std::move(exchange));
}

void HttpConnection::OnEvent(bufferevent*, short what, void* argument) {
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
    return;
  }
  auto* self = static_cast<HttpConnection*>(argument);
  self->Close();
  if (self->done_ != nullptr && (what & BEV_EVENT_EOF) != 0) {
    self->OnStreamEnd();
  } else {
    self->ReportResult({});
  }
}

void HttpConnection::OnStreamEnd() {
  HttpExchange exchange;
  // A response without a length ends with the connection. One that was reset is not complete.
  if (reader_->OnEndOfStream() == HttpResponseReader::State::kComplete) {
    exchange.response = reader_->TakeResponse();
  }
  ReportResult(std::move(exchange));
}

void HttpConnection::OnOutputChange(evbuffer*, const evbuffer_cb_info* info, void* argument) {
  // Bytes are removed from the buffer when they are written to the socket.
  if (info->n_deleted > 0) {
    static_cast<HttpConnection*>(argument)->request_written_ = true;
  }
}

}  // namespace jd
