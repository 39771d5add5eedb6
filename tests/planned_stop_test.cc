#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/gateway_harness.h"

namespace jd {
namespace {

enum class CallerMode {
  kNewConnections,
  kKeptConnection,
  kPipelined,
};

struct CallerCounts {
  std::atomic<int> answered{0};
  std::atomic<int> cut{0};  ///< Requests that were sent and got no complete answer.
};

// Sends requests with blocking calls until the port of the gateway is closed.
class BlockingCaller {
 public:
  BlockingCaller(uint16_t port, CallerMode mode, CallerCounts* counts)
      : port_(port), mode_(mode), counts_(counts) {}

  void Run() {
    while (Connect()) {
      while (Exchange() && mode_ != CallerMode::kNewConnections) {
      }
      close(socket_);
      received_.clear();
    }
  }

 private:
  // Returns false once the port is closed.
  bool Connect() {
    socket_ = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = Loopback(port_);
    if (connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
      return true;
    }
    close(socket_);
    return false;
  }
  // Sends one request, or two in pipelined mode, and reads the answer to the first.
  // @return whether the connection can be used again.
  bool Exchange() {
    const std::string request = mode_ == CallerMode::kPipelined ? kGet + kGet : kGet;
    if (send(socket_, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
      return false;  // Closed before this request; nothing of it was read.
    }
    const bool reusable = ReadAnswer();
    return reusable && (mode_ != CallerMode::kPipelined || ReadAnswer());
  }
  bool ReadAnswer() {
    size_t end = std::string::npos;
    while ((end = AnswerEnd()) == std::string::npos) {
      char buffer[4096];
      const ssize_t size = recv(socket_, buffer, sizeof(buffer), 0);
      if (size <= 0) {
        ++counts_->cut;
        return false;
      }
      received_.append(buffer, static_cast<size_t>(size));
    }
    ++counts_->answered;
    const bool closes = received_.substr(0, end).find("Connection: close") != std::string::npos;
    received_.erase(0, end);
    return !closes;
  }
  // Returns the end of the first answer, or npos if it is not complete.
  size_t AnswerEnd() const {
    const size_t head = received_.find("\r\n\r\n");
    const size_t length = received_.find("Content-Length: ");
    if (head == std::string::npos || length > head) {
      return std::string::npos;
    }
    const size_t end = head + 4 + std::stoul(received_.substr(length + 16));
    return received_.size() < end ? std::string::npos : end;
  }

  uint16_t port_;
  CallerMode mode_;
  CallerCounts* counts_;
  int socket_ = -1;
  std::string received_;
};

TEST_CASE("a planned stop under load leaves no request without an answer", "[planned_stop_test]") {
  // Guards against requests that are reset at the end of the stop: on a connection that the kernel
  // had accepted and the gateway had not, or whose bytes the gateway had not read yet.
  constexpr int kStops = 20;
  constexpr int kCallersOfEachMode = 6;
  constexpr int kMinRequests = 10'000;
  CallerCounts counts;
  for (int stop = 0; stop < kStops; ++stop) {
    GatewayFixture f;
    f.AnswerAll();
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallersOfEachMode; ++i) {
      for (const CallerMode mode :
           {CallerMode::kNewConnections, CallerMode::kKeptConnection, CallerMode::kPipelined}) {
        callers.emplace_back(
            [&f, &counts, mode] { BlockingCaller(f.gateway.caller_port(), mode, &counts).Run(); });
      }
    }
    Timer begin_stop(&f.loop, [&f] { f.gateway.Stop(); });
    begin_stop.Schedule(50ms);
    f.gateway.stopped().connect([&f] { f.loop.Stop(); });
    f.loop.Run();
    for (std::thread& caller : callers) {
      caller.join();
    }
  }
  CHECK(counts.cut == 0);
  CHECK(counts.answered >= kMinRequests);
}

}  // namespace
}  // namespace jd
