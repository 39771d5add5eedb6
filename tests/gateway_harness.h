#pragma once

#include <string>

#include "gateway/gateway.h"
#include "tests/http_harness.h"

namespace jd {

/// A gateway with the service "s", whose only endpoint is a server that the test controls.
struct GatewayFixture {
  /// @param extra TOML that is inserted at the end of the table [gateway]: further settings of it,
  ///     or another table, for example [limits].
  explicit GatewayFixture(const std::string& extra = "")
      : upstream(&loop),
        gateway(&loop, ParseSettings(SettingsText(extra), "test.toml"), 1, &dialect) {
    gateway.stopped().connect([this] { stopped = true; });
    gateway.Start();
  }
  std::string SettingsText(const std::string& extra) const {
    return R"(
callers = { port = 0 }
status = { port = 0 }
peers = { port = 0, shared_key = "0123456789abcdef" }
zones = [{ id = "z" }]
profiles = [{ id = "p", deadline_ms = 60000 }]
[gateway]
id = "g"
zone = "z"
seed = 1
grace_ms = 300
)" + extra +
           R"(
[[services]]
id = "s"
profile = "p"
probe_share = 0
endpoints = [{ id = "e", zone = "z", address = "127.0.0.1", slots = 8, port = )" +
           std::to_string(upstream.port) + "}]\n";
  }
  /// Lets the endpoint answer each further request with the same response.
  void AnswerAll(const std::string& headers = "", const std::string& body = "done") {
    upstream.on_request = [headers, body](TextConnection& connection) {
      connection.Answer(HttpResponse("200 OK", headers, body));
    };
  }
  std::unique_ptr<TextConnection> Connect() {
    return std::make_unique<TextConnection>(&loop, gateway.caller_port());
  }
  /// Runs the event loop until `done` holds. @return false after a timeout.
  bool Wait(const std::function<bool()>& done) { return RunUntil(&loop, done); }
  /// Runs the event loop until `text` was received `count` times. @return false after a timeout.
  bool WaitFor(const TextConnection& connection, const std::string& text, size_t count = 1) {
    return Wait([&] { return connection.Count(text) >= count; });
  }
  /// Requests a page from the status port and returns the complete response.
  std::string Status(const std::string& page) {
    TextConnection connection(&loop, gateway.status_port());
    connection.Send("GET " + page + " HTTP/1.1\r\nConnection: close\r\n\r\n");
    Wait([&] { return connection.closed; });
    return connection.received;
  }

  EventLoop loop;
  TextServer upstream;
  NativeDialect dialect;
  Gateway gateway;
  bool stopped = false;
};

inline const std::string kGet = "GET /a HTTP/1.1\r\nx-service: s\r\n\r\n";

}  // namespace jd
