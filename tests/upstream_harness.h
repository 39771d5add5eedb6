#pragma once

#include <catch2/catch.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway/upstream_pool.h"
#include "tests/http_harness.h"

namespace jd {

inline constexpr size_t kMemoryBytes = 1 << 20;

/// A pool with one endpoint "e", which is a server that the test controls.
/// @tparam Dialect the HttpDialect of the pool.
template <typename Dialect>
struct BasicUpstreamFixture {
  explicit BasicUpstreamFixture(std::string upstream_address = "127.0.0.1")
      : server(&loop),
        pool(&loop, HttpConnection::Limits(), kMemoryBytes, &dialect),
        address(std::move(upstream_address)) {
    Configure(4);
    pool.attempt_ended().connect([this](const AttemptResult& result, HttpResponsePtr&) {
      results[result.attempt.value].push_back(result);
    });
    pool.probe_ended().connect([this](const ProbeResult& result) { probes.push_back(result); });
  }
  void Configure(int max_connections) {
    Configuration configuration;
    Service service;
    service.id = ServiceId("s");
    service.health_path = "/healthy";
    service.endpoints = {
        {EndpointId("e"), ZoneId("z"), address, server.port, 4, max_connections, {}}};
    configuration.services[service.id] = service;
    pool.SetConfiguration(std::make_shared<const Configuration>(configuration));
  }
  void Send(uint64_t attempt, Duration timeout = 60s, bool idempotent = false) {
    SendFor("r" + std::to_string(attempt), attempt, timeout, idempotent);
  }
  /// Sends an attempt of the request with this id.
  void SendFor(const std::string& request_id,
               uint64_t attempt,
               Duration timeout = 60s,
               bool idempotent = false) {
    UpstreamRequest request;
    request.method = EVHTTP_REQ_POST;
    request.target = "/order";
    request.request_id = RequestId(request_id);
    const BufferPtr body(evbuffer_new());
    evbuffer_add_printf(body.get(), "body");
    request.body = body.get();
    pool.Send({CallId(1), AttemptId(attempt), EndpointId("e"), timeout, idempotent}, request);
  }
  AttemptResult WaitForResult(uint64_t attempt) {
    REQUIRE(RunUntil(&loop, [&] { return !results[attempt].empty(); }));
    CHECK(results[attempt].size() == 1);
    return results[attempt].front();
  }
  void AnswerAll(const std::string& response) {
    server.on_request = [response](TextConnection& connection) { connection.Answer(response); };
  }
  void RunLoopBriefly() {
    for (int i = 0; i < 20; ++i) {
      int checks = 0;
      RunUntil(&loop, [&] { return ++checks > 2; });
    }
  }

  EventLoop loop;
  TextServer server;
  Dialect dialect;
  UpstreamPool pool;
  std::string address;
  std::map<uint64_t, std::vector<AttemptResult>> results;
  std::vector<ProbeResult> probes;
};

using UpstreamFixture = BasicUpstreamFixture<NativeDialect>;

inline const std::string kOk =
    HttpResponse("200 OK",
                 "x-load: in-flight=1;slots=4;state=warm\r\nx-instance-id: i7\r\n",
                 "done");

}  // namespace jd
