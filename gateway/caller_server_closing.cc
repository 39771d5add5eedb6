// The part of CallerServer that closes connections: overdue ones, and all of them at a planned
// stop.
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "gateway/caller_server.h"

namespace jd {
namespace {

// The time limits of connections are checked at this interval, so a connection exceeds them by at
// most this much.
constexpr Duration kExpiryCheckInterval = 100ms;
// Interval between the steps of Close.
constexpr Duration kCloseStep = 5ms;
// How long Close waits for the first request of a connection: the caller may be about to send it.
constexpr Duration kFirstRequestWait = 200ms;

// Returns whether bytes of a request have arrived that were not read yet.
bool HasUnreadBytes(bufferevent* stream) {
  char byte = 0;
  return recv(bufferevent_getfd(stream), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}  // namespace

void CallerServer::CloseConnection(CallerConnection* connection, bool lingers) {
  if (connection->closed) {
    return;
  }
  connection->closed = true;
  bufferevent_setcb(connection->stream.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(connection->stream.get(), EV_READ | EV_WRITE);
  if (lingers) {
    lingering_.Add(bufferevent_getfd(connection->stream.get()));
  }
  auto node = connections_.extract(connection);
  closed_connections_.push_back(std::move(node.mapped()));
  destroy_timer_.ScheduleNow();
  connection->reader.reset();
  connection->memory.Set({});
  DropCalls(connection);
  if (idle()) {
    became_idle_.emit();
  }
}

void CallerServer::CloseIdleConnections() {
  const MonoTime now = loop_->ReadClocks().mono;
  std::vector<CallerConnection*> idle;
  for (const auto& [key, connection] : connections_) {
    const bool is_new = !connection->used && now < connection->state_since + kFirstRequestWait;
    if (connection->idle() && !is_new && !HasUnreadBytes(connection->stream.get())) {
      idle.push_back(connection.get());
    }
  }
  for (CallerConnection* connection : idle) {
    CloseConnection(connection, close_announced_);
  }
}

void CallerServer::Close() {
  AnnounceClose();
  // Close may be called while an answer is being written, when no connection may be closed.
  close_timer_.ScheduleNow();
}

void CallerServer::ContinueClose() {
  // The event loop accepts pending connections before the next step.
  if (listener_.listening() && !listener_.HasPendingConnections()) {
    listener_.Close();
  }
  CloseIdleConnections();
  if (!listener_.listening() && connections_.empty() && lingering_.empty()) {
    closed_.emit();
    return;
  }
  close_timer_.Schedule(kCloseStep);
}

void CallerServer::CloseExpiredConnections() {
  const MonoTime now = loop_->ReadClocks().mono;
  std::vector<CallerConnection*> overdue;
  std::vector<CallerConnection*> idle;
  for (const auto& [key, connection] : connections_) {
    const Duration age = now - connection->state_since;
    const bool is_idle = connection->idle();
    if ((connection->state == CallerState::kHeader && age > limits_.header_timeout) ||
        (connection->state == CallerState::kBody && age > limits_.body_timeout) ||
        (is_idle && age > limits_.idle_timeout)) {
      overdue.push_back(connection.get());
    } else if (is_idle) {
      idle.push_back(connection.get());
    }
  }
  const auto allowed = static_cast<size_t>(limits_.idle_connections);
  if (idle.size() > allowed) {
    std::sort(idle.begin(), idle.end(),
              [](const auto* a, const auto* b) { return a->state_since < b->state_since; });
    overdue.insert(overdue.end(), idle.begin(),
                   idle.begin() + static_cast<ptrdiff_t>(idle.size() - allowed));
  }
  for (CallerConnection* connection : overdue) {
    CloseConnection(connection, close_announced_);
  }
  expiry_timer_.Schedule(kExpiryCheckInterval);
}

}  // namespace jd
