#pragma once

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "common/random.h"
#include "soak/tcp_proxy.h"
#include "standin/standin_http.h"

namespace jd {

/// A simulated upstream server behind a fault-injecting proxy. It uses the HTTP headers of the
/// users' platform.
class SoakUpstream {
 public:
  /// Called for each request that the server executes or refuses for lack of slots. Not called for
  /// health requests and requests that expect another instance.
  /// @param runs whether the server executes the request; otherwise it refuses it.
  using ArrivalCallback = std::function<void(const std::string& request, bool runs)>;

  /// The server does not run until Start is called.
  /// @param port port of the server; the gateways use the port of proxy().
  /// @param seed random seed of the service times.
  SoakUpstream(event_base* base, uint16_t port, uint64_t seed, ArrivalCallback on_arrival);

  /// Starts the server. @param instance instance id, new for each start.
  void Start(const std::string& instance);
  /// Stops the server at once: open connections are reset, new ones are refused.
  void Crash();
  bool running() const { return running_; }
  /// From now on health requests get 503, while all other requests are still served.
  void Drain() { draining_ = true; }
  /// From now on names this limit, in requests per second from all gateways together, in each
  /// answer; nothing: names none. A restart ends the limit.
  void SetLimit(std::optional<double> limit) { limit_ = limit; }
  /// From now on says in each answer that it leaves, while it serves on.
  void SayLeaving() { says_leaving_ = true; }
  /// Until this time answers 503 with the time that is left. A restart ends it.
  void WantNothing(MonoTime until) { wants_nothing_until_ = until; }
  const std::string& instance() const { return instance_; }
  TcpProxy& proxy() { return *proxy_; }

 private:
  /// A request in execution.
  struct RunningRequest {
    evhttp_request* request = nullptr;
    std::string id;
    MonoTime done_at;  ///< End of its service time.
  };

  void ServeRequest(evhttp_request* request);
  void ServeHealth(evhttp_request* request);
  void AddLoadHeader(evhttp_request* request) const;
  /// Answers a request with the time for which the server wants nothing.
  /// @return false if it wants requests.
  bool TurnAway(evhttp_request* request);
  /// Timer callback: answers the requests whose service time is over.
  void AnswerDueRequests();

  event_base* base_;
  uint16_t port_;
  RandomEngine random_;
  ArrivalCallback on_arrival_;
  std::string instance_;
  bool running_ = false;
  bool draining_ = false;
  std::optional<double> limit_;
  bool says_leaving_ = false;
  MonoTime wants_nothing_until_;
  std::list<RunningRequest> running_requests_;
  std::unique_ptr<StandinHttp> http_;
  std::unique_ptr<TcpProxy> proxy_;
  StandinTimer timer_;
};

}  // namespace jd
