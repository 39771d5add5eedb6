#include "gateway/frame_link.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <chrono>
#include <stdexcept>

#include "net/socket_options.h"

namespace jd {
namespace {

sockaddr_in ParseAddress(const std::string& address, uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  if (inet_pton(AF_INET, address.c_str(), &out.sin_addr) != 1) {
    throw std::runtime_error("'" + address + "' is not an IPv4 address");
  }
  return out;
}

// The kernel closes a silent connection after about three times as long. Peers in the same zone
// notice it earlier, from their heartbeats.
constexpr std::chrono::seconds kKeepAliveIdle{2};

}  // namespace

FrameLink::FrameLink(event_base* base, evutil_socket_t socket)
    : connection_(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE)), connected_(true) {
  SetUpConnection(socket);
}

FrameLink::FrameLink(event_base* base, const std::string& address, uint16_t port)
    : connection_(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)) {
  const sockaddr_in target = ParseAddress(address, port);
  bufferevent_socket_connect(connection_.get(), reinterpret_cast<const sockaddr*>(&target),
                             sizeof(target));
  SetUpConnection(bufferevent_getfd(connection_.get()));
}

void FrameLink::SetUpConnection(evutil_socket_t socket) {
  if (socket >= 0) {
    DisableNagle(socket);
    EnableTcpKeepAlive(socket, kKeepAliveIdle);
  }
  bufferevent_setcb(connection_.get(), &ReadCallback, nullptr, &EventCallback, this);
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
}

bool FrameLink::Send(const std::string& frame) {
  if (is_closed_ ||
      evbuffer_get_length(bufferevent_get_output(connection_.get())) > kMaxQueuedBytes) {
    return false;
  }
  bufferevent_write(connection_.get(), frame.data(), frame.size());
  return true;
}

void FrameLink::ReadFrames() {
  evbuffer* input = bufferevent_get_input(connection_.get());
  std::array<char, 16 * 1024> chunk;
  int count = 0;
  while ((count = evbuffer_remove(input, chunk.data(), chunk.size())) > 0) {
    bytes_received_ += static_cast<uint64_t>(count);
    reader_.Append(chunk.data(), static_cast<size_t>(count));
  }
  try {
    while (const auto envelope = reader_.NextEnvelope()) {
      envelope_received_.emit(*envelope);
      if (is_closed_) {
        return;
      }
    }
  } catch (const FrameError&) {
    CloseAndNotify();
  }
}

void FrameLink::Close() {
  is_closed_ = true;
  bufferevent_disable(connection_.get(), EV_READ | EV_WRITE);
}

void FrameLink::CloseAndNotify() {
  if (is_closed_) {
    return;
  }
  Close();
  closed_.emit();
}

void FrameLink::ReadCallback(bufferevent*, void* self) {
  static_cast<FrameLink*>(self)->ReadFrames();
}

void FrameLink::EventCallback(bufferevent*, short what, void* self) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    static_cast<FrameLink*>(self)->connected_ = true;
  }
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    static_cast<FrameLink*>(self)->CloseAndNotify();
  }
}

}  // namespace jd
