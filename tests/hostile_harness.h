#pragma once

#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

#include "standin/child_process.h"
#include "tests/http_harness.h"

namespace jd {

constexpr size_t kMegabyte = 1 << 20;
/// The limits in the settings of the gateway process under test.
constexpr size_t kHostileBodyLimit = 8 * kMegabyte;
constexpr size_t kHostileMemoryMegabytes = 64;
/// Most descriptors that the process may have open, beside one for each connection of the crowd.
constexpr size_t kHostileDescriptors = 64;

/// A gateway that runs as a process of its own, with one service at an endpoint of the test.
class HostileTestGateway {
 public:
  explicit HostileTestGateway(const std::string& name)
      : base_(std::string(std::getenv("JACKDAWDECK_BUILD")) + "/" + name), upstream_(&loop_) {
    upstream_.on_request = [](TextConnection& connection) {
      connection.Answer(HttpResponse("200 OK", "", "ordinary-answer"));
    };
    std::ofstream(settings_file()) << SettingsText();
    unlink(log_file().c_str());
    const std::string program = std::string(std::getenv("JACKDAWDECK_BUILD")) + "/jackdawdeck";
    process_.Start({{program, "gateway", "--config", settings_file()}, log_file()});
    REQUIRE(RunUntil(&loop_, [this] { return CallerPort() != 0; }));
  }
  ~HostileTestGateway() {
    unlink(settings_file().c_str());
    unlink(log_file().c_str());
  }
  HostileTestGateway(const HostileTestGateway&) = delete;
  HostileTestGateway& operator=(const HostileTestGateway&) = delete;

  EventLoop* loop() { return &loop_; }
  /// Returns the port for callers, or 0 if the process does not listen yet.
  uint16_t CallerPort() const {
    const std::string text = ReadAll(log_file());
    std::smatch match;
    return std::regex_search(text, match, std::regex("callers on port (\\d+)"))
               ? static_cast<uint16_t>(std::stoi(match[1]))
               : 0;
  }
  /// Returns how many bytes the process has not read yet, on all its connections to callers.
  size_t UnreadBytes() const {
    const uint16_t port = CallerPort();
    std::istringstream lines(ReadAll("/proc/net/tcp"));
    std::string line;
    std::getline(lines, line);
    size_t bytes = 0;
    while (std::getline(lines, line)) {
      // Number, local address, remote address, state, then "tx_queue:rx_queue", all hexadecimal.
      std::istringstream fields(line);
      std::string number;
      std::string local;
      std::string remote;
      std::string state;
      std::string queues;
      fields >> number >> local >> remote >> state >> queues;
      constexpr const char* kEstablished = "01";
      if (state == kEstablished &&
          std::stoul(local.substr(local.find(':') + 1), nullptr, 16) == port) {
        bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
      }
    }
    return bytes;
  }
  /// Checks that the process is alive, that its memory and descriptors stayed under their bounds,
  /// and that an ordinary request is answered.
  /// @param crowd number of hostile connections.
  void CheckUnharmed(size_t crowd) {
    TextConnection caller(&loop_, CallerPort());
    caller.Send("GET /a HTTP/1.1\r\nx-service: s\r\n\r\n");
    CHECK(RunUntil(&loop_, [&] { return caller.Count("ordinary-answer") == 1; }));
    REQUIRE(process_.Running());
    const size_t peak_kilobytes = PeakResidentKilobytes();
    WARN("peak resident memory: " << peak_kilobytes << " kB, descriptors: " << Descriptors());
    CHECK(Descriptors() <= kHostileDescriptors + crowd);
#ifndef __SANITIZE_ADDRESS__  // The sanitizer keeps freed memory and has memory of its own.
    CHECK(peak_kilobytes <= kHostileMemoryMegabytes * 1024);
#endif
  }

 private:
  static std::string ReadAll(const std::string& path) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }
  std::string settings_file() const {
    return base_ + ".toml";
  }
  std::string log_file() const {
    return base_ + ".log";
  }
  std::string SettingsText() const {
    return R"(
callers = { port = 0 }
status = { port = 0 }
peers = { port = 0, shared_key = "0123456789abcdef" }
zones = [{ id = "z" }]
profiles = [{ id = "p", deadline_ms = 10000 }]
[gateway]
id = "g"
zone = "z"
policy = "pooled"
[limits]
body_bytes = )" +
           std::to_string(kHostileBodyLimit) +
           "\nmemory_mb = " + std::to_string(kHostileMemoryMegabytes) + R"(
[[services]]
id = "s"
profile = "p"
endpoints = [{ id = "e", zone = "z", address = "127.0.0.1", slots = 8, port = )" +
           std::to_string(upstream_.port) + "}]\n";
  }
  std::string ProcessPath() const {
    return "/proc/" + std::to_string(process_.pid());
  }
  size_t PeakResidentKilobytes() const {
    const std::string text = ReadAll(ProcessPath() + "/status");
    std::smatch match;
    REQUIRE(std::regex_search(text, match, std::regex("VmHWM:\\s+(\\d+) kB")));
    return std::stoul(match[1]);
  }
  size_t Descriptors() const {
    const std::filesystem::directory_iterator entries(ProcessPath() + "/fd");
    return static_cast<size_t>(std::distance(begin(entries), end(entries)));
  }

  std::string base_;
  EventLoop loop_;
  TextServer upstream_;
  ChildProcess process_;
};

/// Sends the head of a request and then a text again and again, but never the end of the body, and
/// keeps the connection open.
class HostileSender {
 public:
  /// @param head request line and headers. @param piece part of the body, sent `count` times.
  HostileSender(HostileTestGateway* gateway,
                const std::string& head,
                std::string piece,
                size_t count)
      : piece_(std::move(piece)),
        left_(count),
        stream_(bufferevent_socket_new(gateway->loop()->base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    bufferevent_setcb(stream_.get(), nullptr, &OnWritten, &OnEvent, this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    const sockaddr_in address = Loopback(gateway->CallerPort());
    bufferevent_socket_connect(stream_.get(), reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address));
    bufferevent_write(stream_.get(), head.data(), head.size());
  }
  HostileSender(const HostileSender&) = delete;
  HostileSender& operator=(const HostileSender&) = delete;

  /// Returns whether everything was sent, or the gateway has closed the connection.
  bool done() const { return done_; }

 private:
  static void OnWritten(bufferevent* stream, void* argument) {
    auto* self = static_cast<HostileSender*>(argument);
    if (self->left_ == 0) {
      self->done_ = true;
      return;
    }
    --self->left_;
    bufferevent_write(stream, self->piece_.data(), self->piece_.size());
  }
  static void OnEvent(bufferevent*, short what, void* argument) {
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      static_cast<HostileSender*>(argument)->done_ = true;
    }
  }

  std::string piece_;
  size_t left_;
  bool done_ = false;
  LibeventPtr<bufferevent> stream_;
};

/// A number of connections that all send the same.
class HostileCrowd {
 public:
  /// @param count number of pieces that each connection sends.
  HostileCrowd(HostileTestGateway* gateway,
               size_t connections,
               const std::string& header,
               const std::string& piece,
               size_t count)
      : gateway_(gateway) {
    const std::string head = "POST /a HTTP/1.1\r\nx-service: s\r\n" + header + "\r\n";
    for (size_t i = 0; i < connections; ++i) {
      senders_.push_back(std::make_unique<HostileSender>(gateway, head, piece, count));
    }
  }
  /// Runs the event loop until every connection has sent all that it can, and the gateway has read
  /// it. One that the gateway does not read any more does not finish, so the time is limited.
  void Send() {
    constexpr int kMaxRounds = 3;
    const auto done = [this] {
      return std::all_of(senders_.begin(), senders_.end(),
                         [](const auto& sender) { return sender->done(); }) &&
             gateway_->UnreadBytes() == 0;
    };
    for (int round = 0; round < kMaxRounds && !RunUntil(gateway_->loop(), done); ++round) {
    }
  }
  size_t size() const { return senders_.size(); }

 private:
  HostileTestGateway* gateway_;
  std::vector<std::unique_ptr<HostileSender>> senders_;
};

/// Returns a chunk of a body.
inline std::string Chunk(size_t size) {
  std::ostringstream text;
  text << std::hex << size << "\r\n" << std::string(size, 'x') << "\r\n";
  return text.str();
}

/// Returns a text several times in a row.
inline std::string Repeat(const std::string& text, size_t count) {
  std::string all;
  all.reserve(text.size() * count);
  for (size_t i = 0; i < count; ++i) {
    all += text;
  }
  return all;
}

}  // namespace jd
