#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

#include "control/port_wait.h"
#include "standin/child_process.h"
#include "tests/http_harness.h"

namespace jd {
namespace {

std::string ReadAll(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

// A gateway that runs as a separate process, with the service "s" at one endpoint.
class GatewayProcess {
 public:
  struct Options {
    /// Starts the process with SIGHUP blocked. A SIGHUP then stays pending until the process
    /// unblocks the signal, as if SIGHUP had arrived at the very start of the process.
    bool sighup_blocked = false;
    /// Ports of the listening sockets; 0 lets the system choose a free one.
    uint16_t callers_port = 0;
    uint16_t status_port = 0;
    uint16_t peers_port = 0;
  };

  GatewayProcess(uint16_t upstream_port, const Options& options)
      : base_(std::string(std::getenv("JACKDAWDECK_BUILD")) + "/process_test") {
    std::ofstream(base_ + ".toml")
        << "callers = { port = " << options.callers_port
        << " }\nstatus = { port = " << options.status_port
        << " }\npeers = { port = " << options.peers_port << R"(, shared_key = "0123456789abcdef" }
zones = [{ id = "z" }]
profiles = [{ id = "p", deadline_ms = 60000 }]
[gateway]
id = "g"
zone = "z"
policy = "pooled"
grace_ms = 500
[[services]]
id = "s"
profile = "p"
endpoints = [{ id = "e", zone = "z", address = "127.0.0.1", slots = 64, port = )"
        << upstream_port << "}]\n";
    const std::string program = std::string(std::getenv("JACKDAWDECK_BUILD")) + "/jackdawdeck";
    const std::string settings = base_ + ".toml";
    const std::string log = base_ + ".log";
    unlink(log.c_str());
    process_.Start({{program, "gateway", "--config", settings}, log, options.sighup_blocked});
  }
  ~GatewayProcess() {
    for (const char* suffix : {".toml", ".log"}) {
      unlink((base_ + suffix).c_str());
    }
  }
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  std::string log() const { return ReadAll(base_ + ".log"); }
  /// Returns the port that the log mentions after `word`, or 0 if it does not yet.
  uint16_t Port(const std::string& word) const {
    const std::string text = log();
    std::smatch match;
    return std::regex_search(text, match, std::regex(word + " on port (\\d+)"))
               ? static_cast<uint16_t>(std::stoi(match[1]))
               : 0;
  }
  void SendSigterm() const { process_.Signal(SIGTERM); }
  void SendSighup() const { process_.Signal(SIGHUP); }
  bool ended() { return !process_.Running(); }
  bool exited_with_zero() {
    return ended() && WIFEXITED(process_.exit_status()) && WEXITSTATUS(process_.exit_status()) == 0;
  }

 private:
  std::string base_;
  ChildProcess process_;
};

// A load generator: each caller sends its next request when the previous one has been answered.
struct LoadGenerator {
  LoadGenerator(EventLoop* loop, uint16_t port, size_t callers) : loop(loop), port(port) {
    connections.resize(callers);
    for (auto& connection : connections) {
      Send(&connection);
    }
  }
  void Send(std::unique_ptr<TextConnection>* connection) {
    if (*connection == nullptr || (*connection)->closed ||
        (*connection)->Count("Connection: close") > 0) {
      *connection = std::make_unique<TextConnection>(loop, port);
    }
    (*connection)->received.clear();
    (*connection)->Send("GET /quick HTTP/1.1\r\nx-service: s\r\n\r\n");
    ++sent;
  }
  void HandleAnswers() {
    for (auto& connection : connections) {
      if (connection == nullptr) {
        continue;
      }
      if (connection->Count("whole-answer") > 0) {
        ++answered;
        if (stopping) {
          connection.reset();
        } else {
          Send(&connection);
        }
      } else if (connection->closed) {
        ++lost;
        connection.reset();
      }
    }
  }
  bool idle() const {
    return std::all_of(connections.begin(), connections.end(),
                       [](const auto& connection) { return connection == nullptr; });
  }

  EventLoop* loop;
  uint16_t port;
  std::vector<std::unique_ptr<TextConnection>> connections;
  size_t sent = 0;
  size_t answered = 0;
  size_t lost = 0;
  bool stopping = false;
};

TEST_CASE(
    "a process that receives SIGTERM under load completes all calls in flight and exits with 0",
    "[process_test]") {
  // Guards against an exit that loses calls in flight, which callers could not distinguish from a
  // crash.
  EventLoop loop;
  TextServer upstream(&loop);
  const std::string answer = HttpResponse("200 OK", "", "whole-answer");
  std::vector<TextConnection*> held;
  size_t received = 0;
  upstream.on_request = [&](TextConnection& connection) {
    ++received;
    const size_t last = connection.received.rfind("GET ");
    if (connection.received.compare(last, 9, "GET /held") == 0) {
      held.push_back(&connection);
    } else {
      connection.Send(answer);
    }
  };
  GatewayProcess gateway(upstream.port, {});
  REQUIRE(RunUntil(&loop, [&] { return gateway.Port("status") != 0; }));
  const uint16_t callers = gateway.Port("callers");
  std::vector<std::unique_ptr<TextConnection>> slow;
  for (int i = 0; i < 8; ++i) {
    slow.push_back(std::make_unique<TextConnection>(&loop, callers));
    slow.back()->Send("GET /held HTTP/1.1\r\nx-service: s\r\n\r\n");
  }
  LoadGenerator load(&loop, callers, 16);
  const auto run_load_until = [&](const std::function<bool()>& done) {
    return RunUntil(&loop, [&] {
      load.HandleAnswers();
      return done();
    });
  };
  REQUIRE(run_load_until([&] { return held.size() == 8 && load.answered > 200; }));
  gateway.SendSigterm();
  // Like a balancer, sends new calls until the readiness check has failed.
  TextConnection probe(&loop, gateway.Port("status"));
  const std::string ready_request = "GET /ready HTTP/1.1\r\n\r\n";
  probe.Send(ready_request);
  size_t requests_sent = 1;
  REQUIRE(run_load_until([&] {
    if (probe.Count("ready\n") == requests_sent && probe.Count("HTTP/1.1 503") == 0) {
      probe.Send(ready_request);
      ++requests_sent;
    }
    return probe.Count("HTTP/1.1 503") > 0;
  }));
  const size_t before = load.answered;
  REQUIRE(run_load_until([&] { return load.answered > before + 20; }));
  load.stopping = true;
  REQUIRE(run_load_until([&] { return load.idle(); }));
  REQUIRE(run_load_until(
      [&] { return gateway.log().find("Grace period over: refusing") != std::string::npos; }));
  CHECK_FALSE(gateway.ended());
  for (TextConnection* connection : held) {
    connection->Send(answer);
  }
  REQUIRE(RunUntil(&loop, [&] { return gateway.ended(); }));
  CHECK(gateway.exited_with_zero());
  CHECK(load.lost == 0);
  CHECK(load.answered == load.sent);
  CHECK(received == load.sent + 8);
  for (const auto& connection : slow) {
    CHECK(RunUntil(&loop, [&] { return connection->closed; }));
    CHECK(connection->Count("whole-answer") == 1);
  }
}

TEST_CASE("a process whose port is busy waits for it and then serves", "[process_test]") {
  // Guards against a gateway that ends at its start, again and again, while an earlier process of
  // the same VM still completes its calls.
  EventLoop loop;
  TextServer upstream(&loop);
  upstream.on_request = [](TextConnection& connection) {
    connection.Answer(HttpResponse("200 OK", "", "done"));
  };
  auto holder = std::make_unique<TextServer>(&loop);
  const uint16_t port = holder->port;
  GatewayProcess::Options options;
  SECTION("callers") {
    options.callers_port = port;
  }
  SECTION("status") {
    options.status_port = port;
  }
  SECTION("peers") {
    options.peers_port = port;
  }
  GatewayProcess gateway(upstream.port, options);
  const std::string fault = "port " + std::to_string(port) + ": Address already in use";
  REQUIRE(RunUntil(&loop, [&] {
    return gateway.ended() || (gateway.log().find("event=port-busy") != std::string::npos &&
                               gateway.log().find(fault) != std::string::npos);
  }));
  CHECK_FALSE(gateway.ended());
  holder.reset();
  REQUIRE(RunUntil(&loop, [&] { return gateway.ended() || gateway.Port("status") != 0; }));
  REQUIRE_FALSE(gateway.ended());
  TextConnection caller(&loop, gateway.Port("callers"));
  caller.Send("GET /a HTTP/1.1\r\nx-service: s\r\n\r\n");
  CHECK(RunUntil(&loop, [&] { return caller.Count("done") == 1; }));
}

TEST_CASE("a process that waits for a busy port can be stopped", "[process_test]") {
  EventLoop loop;
  const TextServer holder(&loop);
  GatewayProcess gateway(holder.port, {.callers_port = holder.port});
  REQUIRE(
      RunUntil(&loop, [&] { return gateway.log().find("event=port-busy") != std::string::npos; }));
  gateway.SendSigterm();
  CHECK(RunUntil(&loop, [&] { return gateway.ended(); }));
}

TEST_CASE("the wait for a busy port is bounded", "[process_test]") {
  // Guards against a process that waits for ever for a port that another program keeps.
  const MonoTime start = MonoFromMicros(5'000'000);
  const PortWait wait(start);
  CHECK(wait.NextDelay(start) == PortWait::kRetryInterval);
  CHECK(wait.NextDelay(start + PortWait::kMaxWait - PortWait::kRetryInterval));
  CHECK_FALSE(wait.NextDelay(start + PortWait::kMaxWait));
}

TEST_CASE("a SIGHUP that arrives during the start is handled afterwards", "[process_test]") {
  // Guards against SIGHUP ending the process when the settings file changes while the process
  // starts.
  EventLoop loop;
  TextServer upstream(&loop);
  GatewayProcess gateway(upstream.port, {.sighup_blocked = true});
  gateway.SendSighup();
  CHECK(RunUntil(&loop, [&] {
    return gateway.ended() || gateway.log().find("event=reload ") != std::string::npos;
  }));
  CHECK_FALSE(gateway.ended());
}

}  // namespace
}  // namespace jd
