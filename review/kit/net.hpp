// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <strings.h>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

inline int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               start)
      .count();
}

inline void SleepMs(int64_t ms) {
  if (ms > 0) {
    usleep(static_cast<useconds_t>(ms) * 1000);
  }
}

struct Message {
  std::string first_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const char* name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name) == 0) {
        return value;
      }
    }
    return {};
  }
  bool Has(const char* name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name) == 0) {
        return true;
      }
    }
    return false;
  }
  int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
  std::string Word(size_t index) const {
    size_t begin = 0;
    for (size_t i = 0; i < index; ++i) {
      begin = first_line.find(' ', begin);
      if (begin == std::string::npos) {
        return {};
      }
      ++begin;
    }
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
};

// One connection; reads whole messages.
class Stream {
 public:
  explicit Stream(int fd) : fd_(fd) {}
  ~Stream() { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }
  // Ends the connection with a reset.
  void Reset() {
    if (fd_ >= 0) {
      const linger now{1, 0};
      setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      Close();
    }
  }
  bool Write(const std::string& text) {
    size_t done = 0;
    while (done < text.size()) {
      const ssize_t n = send(fd_, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      done += static_cast<size_t>(n);
    }
    return true;
  }
  // Returns whether the other end has closed or reset the connection.
  bool PeerClosed() {
    pollfd p{fd_, POLLIN | POLLRDHUP, 0};
    if (poll(&p, 1, 0) <= 0) {
      return false;
    }
    if ((p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
      return true;
    }
    char c = 0;
    return recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
  // Reads one message until `deadline_ms`; false on close, error or time-out.
  bool Read(Message* out, int64_t deadline_ms) {
    *out = Message();
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(deadline_ms)) {
        return false;
      }
    }
    size_t at = buffer_.find("\r\n");
    out->first_line = buffer_.substr(0, at);
    at += 2;
    while (at < end + 2) {
      const size_t line_end = buffer_.find("\r\n", at);
      const std::string line = buffer_.substr(at, line_end - at);
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') {
          ++value;
        }
        out->headers.emplace_back(line.substr(0, colon), line.substr(value));
      }
      at = line_end + 2;
    }
    buffer_.erase(0, end + 4);
    const size_t length = static_cast<size_t>(std::atol(out->Header("Content-Length").c_str()));
    while (buffer_.size() < length) {
      if (!Fill(deadline_ms)) {
        return false;
      }
    }
    out->body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return true;
  }
  bool timed_out() const { return timed_out_; }
  size_t buffered() const { return buffer_.size(); }

 private:
  bool Fill(int64_t deadline_ms) {
    const int64_t left = deadline_ms - NowMs();
    pollfd p{fd_, POLLIN, 0};
    if (left <= 0 || poll(&p, 1, static_cast<int>(left)) <= 0) {
      timed_out_ = true;
      return false;
    }
    char chunk[16384];
    const ssize_t n = recv(fd_, chunk, sizeof(chunk), 0);
    if (n <= 0) {
      return false;
    }
    buffer_.append(chunk, static_cast<size_t>(n));
    return true;
  }

  int fd_;
  std::string buffer_;
  bool timed_out_ = false;
};

inline sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Opens a listening socket on a loopback port; 0 takes a free one. Returns -1 if it is in use.
inline int Listen(uint16_t* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(*port);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  *port = ntohs(address.sin_port);
  return fd;
}

// Opens a listening socket on a free port below the range of ports that outgoing connections take,
// so that the port stays free after the socket is closed.
inline int ListenLow(uint16_t* port) {
  static std::mt19937 random(std::random_device{}());
  while (true) {
    *port = static_cast<uint16_t>(std::uniform_int_distribution<int>(16'000, 31'999)(random));
    const int fd = Listen(port);
    if (fd >= 0) {
      return fd;
    }
  }
}

// Connects to a loopback port; -1 on failure.
inline int Connect(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline std::string Response(int status, const std::string& headers, const std::string& body) {
  const char* reason = status == 200   ? "OK"
                       : status == 421 ? "Misdirected Request"
                       : status == 503 ? "Service Unavailable"
                                       : "Status";
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace kit
