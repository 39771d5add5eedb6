#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cluster/node.h"
#include "common/configuration.h"
#include "gateway/http_dialect.h"
#include "net/event_loop.h"
#include "net/http_connection.h"
#include "policy/attempt_result.h"
#include "policy/call_action.h"

namespace jd {

/// A caller's request in the form in which it is sent to upstreams.
struct UpstreamRequest {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string target;
  RequestId request;
  HttpHeaders headers;       ///< End to end, without those that the gateway writes itself.
  evbuffer* body = nullptr;  ///< Shared, not consumed; may be null.
};

/// The upstream side: connections to endpoints, one attempt at a time on each.
class UpstreamPool {
 public:
  UpstreamPool(EventLoop* loop, const HttpConnection::Limits& limits, const HttpDialect* dialect);

  /// One per SendAttempt, also after CancelAttempt; the response is null unless one arrived whole.
  /// May be emitted before Send or Cancel returns.
  sigc::signal<void(const AttemptResult&, HttpRequestPtr&)>& attempt_ended() {
    return attempt_ended_;
  }
  /// One per SendProbe.
  sigc::signal<void(const ProbeResult&)>& probe_ended() { return probe_ended_; }

  /// Takes the addresses of endpoints; connections to endpoints that moved are closed when idle.
  void SetConfiguration(const ConfigurationPtr& configuration);
  void Send(const SendAttempt& attempt, const UpstreamRequest& request);
  void Cancel(AttemptId attempt);
  /// Ends the attempts on the connections in use that it closes as lost.
  void Close(const CloseConnections& close);
  void Probe(const SendProbe& probe);

  size_t connections() const { return connections_; }

 private:
  struct Target {
    std::string address;
    uint16_t port = 0;
    int32_t max_connections = 0;
    std::string health_path;
    ServiceId service;
    InstanceId instance;
    bool operator==(const Target&) const = default;
  };
  struct Link {
    EndpointId endpoint;
    Target target;
    MonoTime opened;
    /// No request is sent on it after this time, because the upstream is about to close it.
    MonoTime idle_until = MonoTime::max();
    /// When an attempt was last answered on it; an upstream that answers twice does so soon after.
    MonoTime answered;
    MonoTime returned;  ///< When it became idle.
    std::unique_ptr<HttpConnection> http;
  };
  using LinkPtr = std::unique_ptr<Link>;
  struct Peer {
    Target target;
    std::vector<LinkPtr> idle;  ///< Least recently used first.
    int32_t open = 0;           ///< Idle or in use.
  };
  /// An attempt or a probe under way.
  struct Exchange {
    LinkPtr link;
    RequestId request;
    bool is_probe = false;
    bool new_connection = false;
    MonoTime sent;
    MonoTime deadline;
  };

  LinkPtr TakeLink(const EndpointId& endpoint, bool* is_new);
  /// Returns the idle connection for the next exchange: the latest used one of those on which no
  /// late second answer is to be feared, or of all. A call that follows a probe so goes out on the
  /// connection that has just worked.
  std::vector<LinkPtr>::iterator ChooseIdle(Peer* peer) const;
  void Start(uint64_t id, const SendAttempt& attempt, const UpstreamRequest& request, bool probe);
  void ReturnLink(LinkPtr link);
  void Discard(LinkPtr link);
  void OnDone(uint64_t id, HttpExchange done);
  /// Repeats a probe whose connection the upstream had dropped while it was idle. The others that
  /// rested as long are dropped too: a call sent there could not be repeated.
  void ProbeAgain(Exchange exchange);
  void Abandon(uint64_t id, AttemptOutcome outcome);
  void Report(uint64_t id, const Exchange& exchange, HttpExchange done, const UpstreamReply& reply);
  void CheckDeadlines();
  void ScheduleDeadline();

  EventLoop* loop_;
  HttpConnection::Limits limits_;
  const HttpDialect* dialect_;
  std::map<EndpointId, Peer> peers_;
  std::unordered_map<uint64_t, Exchange> exchanges_;  ///< By attempt, or probe with kProbeBit.
  std::set<std::pair<MonoTime, uint64_t>> deadlines_;
  std::vector<LinkPtr> discarded_;  ///< Destroyed outside their own callbacks.
  uint64_t next_probe_ = 0;
  size_t connections_ = 0;
  Timer deadline_timer_;
  std::optional<MonoTime> scheduled_;
  Timer discard_timer_;
  sigc::signal<void(const AttemptResult&, HttpRequestPtr&)> attempt_ended_;
  sigc::signal<void(const ProbeResult&)> probe_ended_;
};

}  // namespace jd
