#include "net/lingering_closer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>
#include <unistd.h>

#include <iterator>
#include <new>

namespace jd {

LingeringCloser::Connection::Connection(LingeringCloser* owner, evutil_socket_t socket)
    : closer(owner),
      stream(bufferevent_socket_new(owner->loop_->base(), socket, BEV_OPT_CLOSE_ON_FREE)),
      timeout(owner->loop_, [this] { closer->connections_.erase(position); }) {
  if (stream == nullptr) {
    evutil_closesocket(socket);
    throw std::bad_alloc();
  }
}

void LingeringCloser::Add(evutil_socket_t socket) {
  const evutil_socket_t duplicate = dup(socket);
  if (duplicate < 0) {
    return;  // Without a descriptor to spare the connection is closed at once.
  }
  Connection& connection = connections_.emplace_back(this, duplicate);
  connection.position = std::prev(connections_.end());
  shutdown(duplicate, SHUT_WR);
  bufferevent_setcb(connection.stream.get(), &OnReadable, nullptr, &OnEvent, &connection);
  bufferevent_enable(connection.stream.get(), EV_READ);
  connection.timeout.Schedule(kMaxLinger);
}

void LingeringCloser::OnReadable(bufferevent* stream, void*) {
  evbuffer* input = bufferevent_get_input(stream);
  evbuffer_drain(input, evbuffer_get_length(input));
}

void LingeringCloser::OnEvent(bufferevent*, short, void* argument) {
  auto* connection = static_cast<Connection*>(argument);
  connection->closer->connections_.erase(connection->position);
}

}  // namespace jd
