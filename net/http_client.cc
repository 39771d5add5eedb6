#include "net/http_client.h"

#include <cstdlib>
#include <utility>

namespace jd {
namespace {

// This number is sufficient for the requests of one gateway; more idle connections would only use
// memory on the server.
constexpr size_t kMaxIdleConnections = 4;
// Larger than any page of table rows.
constexpr int64_t kMaxReplyBytes = 64 << 20;
constexpr int64_t kMaxHeaderBytes = 65536;

std::string ReadBody(const HttpResponse& response) {
  std::string text(evbuffer_get_length(response.body.get()), '\0');
  evbuffer_copyout(response.body.get(), text.data(), text.size());
  return text;
}

}  // namespace

std::string EscapeQuery(const std::string& text) {
  const std::unique_ptr<char, decltype(&std::free)> escaped(
      evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free);
  return escaped.get();
}

HttpClient::HttpClient(EventLoop* loop, std::string address, uint16_t port)
    : loop_(loop),
      address_(std::move(address)),
      port_(port),
      discard_timer_(loop, [this] { discarded_.clear(); }) {}

std::unique_ptr<HttpConnection> HttpClient::AcquireConnection() {
  while (!idle_.empty()) {
    std::unique_ptr<HttpConnection> connection = std::move(idle_.back());
    idle_.pop_back();
    if (connection->usable() && !connection->PeerClosed()) {
      return connection;
    }
    Discard({std::move(connection), nullptr, nullptr});
  }
  auto connection = std::make_unique<HttpConnection>(
      loop_->base(), address_, port_, HttpConnection::Limits{kMaxHeaderBytes, kMaxReplyBytes});
  connection->EnableTcpKeepAlive();
  return connection;
}

void HttpClient::Send(const HttpCall& call, Duration timeout, Done done) {
  const uint64_t id = next_id_++;
  Pending pending;
  pending.connection = AcquireConnection();
  pending.timer = std::make_unique<Timer>(loop_, [this, id] { OnTimeout(id); });
  pending.timer->Schedule(timeout);
  pending.done = std::move(done);
  HttpConnection* connection = pending.connection.get();
  pending_.emplace(id, std::move(pending));
  HttpHeaders headers = {{"Host", address_ + ":" + std::to_string(port_)}};
  BufferPtr body;
  if (call.method != EVHTTP_REQ_GET) {
    headers.emplace_back("Content-Type", "application/json");
    body.reset(evbuffer_new());
    evbuffer_add(body.get(), call.body.data(), call.body.size());
  }
  connection->Send(call.method, call.target, headers, body.get(),
                   [this, id](const HttpExchange& exchange) { OnExchangeDone(id, exchange); });
}

void HttpClient::OnExchangeDone(uint64_t id, const HttpExchange& exchange) {
  Pending pending = std::move(pending_.extract(id).mapped());
  const Done done = std::move(pending.done);
  pending.timer->Cancel();
  if (exchange.response != nullptr && pending.connection->usable() &&
      idle_.size() < kMaxIdleConnections) {
    idle_.push_back(std::move(pending.connection));
  } else {
    Discard(std::move(pending));
  }
  if (exchange.response == nullptr) {
    done({0, {}, {}, exchange.request_written});
    return;
  }
  done({exchange.response->status, exchange.response->headers, ReadBody(*exchange.response), true});
}

void HttpClient::OnTimeout(uint64_t id) {
  Pending pending = std::move(pending_.extract(id).mapped());
  const Done done = std::move(pending.done);
  const bool request_written = pending.connection->Abandon().request_written;
  Discard(std::move(pending));
  done({0, {}, {}, request_written});
}

void HttpClient::Discard(Pending pending) {
  discarded_.push_back(std::move(pending));
  discard_timer_.ScheduleNow();
}

}  // namespace jd
