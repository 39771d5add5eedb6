#pragma once

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "common/random.h"
#include "soak/tcp_proxy.h"
#include "standin/standin_http.h"

namespace jd {

/// An upstream server of the soak behind a proxy, in the dialect of the users' platform.
class SoakUpstream {
 public:
  /// Told of each request that arrives.
  using OnArrival = std::function<void(const std::string& request, bool runs)>;

  SoakUpstream(event_base* base, uint16_t port, uint64_t seed, OnArrival arrival);

  /// Begins a new run of the server. @param instance its id.
  void Start(const std::string& instance);
  /// Ends it at once: open connections are reset, new ones are refused.
  void Crash();
  bool running() const { return running_; }
  /// It answers health requests with 503 and goes on serving.
  void Drain() { draining_ = true; }
  const std::string& instance() const { return instance_; }
  TcpProxy& proxy() { return *proxy_; }

 private:
  struct Run {
    evhttp_request* request = nullptr;
    std::string id;
    MonoTime until;
  };

  void Serve(evhttp_request* request);
  void ServeHealth(evhttp_request* request);
  void AddLoad(evhttp_request* request) const;
  void Advance();

  event_base* base_;
  uint16_t port_;
  RandomEngine random_;
  OnArrival arrival_;
  std::string instance_;
  bool running_ = false;
  bool draining_ = false;
  std::list<Run> runs_;
  std::unique_ptr<StandinHttp> http_;
  std::unique_ptr<TcpProxy> proxy_;
  StandinTimer timer_;
};

}  // namespace jd
