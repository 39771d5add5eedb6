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
#include "policy/unsuccessful_requests.h"

namespace jd {

/// A caller's request in the form in which it is sent to upstreams.
struct UpstreamRequest {
  evhttp_cmd_type method = EVHTTP_REQ_GET;
  std::string target;
  RequestId request_id;
  HttpHeaders headers;       ///< End-to-end headers, without those that the gateway sets itself.
  evbuffer* body = nullptr;  ///< Referenced, not consumed; may be null.
};

/// The connections to the endpoints of all services. Sends attempts and probes, one at a time on
/// each connection, enforces their time limits and reports how each ended.
class UpstreamPool {
 public:
  /// @param memory_bytes limit on the incomplete responses of all connections together.
  UpstreamPool(EventLoop* loop,
               const HttpConnection::Limits& limits,
               size_t memory_bytes,
               const HttpDialect* dialect);

  /// Emitted once per attempt that was sent, also if it was cancelled. The response is null unless
  /// it arrived completely. May be emitted before Send or Cancel returns.
  sigc::signal<void(const AttemptResult&, HttpResponsePtr&)>& attempt_ended() {
    return attempt_ended_;
  }
  /// Emitted once per probe, possibly before Probe returns.
  sigc::signal<void(const ProbeResult&)>& probe_ended() { return probe_ended_; }

  /// Updates the endpoints and their addresses. Connections to an endpoint that was removed or
  /// whose address has changed are closed as soon as they are idle.
  void SetConfiguration(const ConfigurationPtr& configuration);
  void Send(const SendAttempt& attempt, const UpstreamRequest& request);
  /// Closes the connection of an attempt, which ends as cancelled. Has no effect if the attempt has
  /// ended.
  void Cancel(AttemptId attempt);
  /// Closes the connections that `close` describes. An attempt on a connection that is closed ends
  /// as kConnectionLost, or as kConnectFailed if no byte of its request was written.
  void CloseOldConnections(const CloseConnections& close);
  /// Requests the health page of an endpoint.
  void Probe(const SendProbe& probe);

  /// Returns the number of connections, idle or in use.
  size_t connections() const { return connection_count_; }
  /// Returns how often every idle connection to an endpoint was passed over, because each had
  /// carried an earlier attempt of the request.
  uint64_t connections_passed_over() const { return connections_passed_over_; }
  /// Returns the bytes of all incomplete responses.
  size_t response_bytes() const { return memory_.used_bytes(); }

 private:
  /// The configuration of an endpoint; the address is empty after the endpoint was removed.
  struct EndpointConfig {
    std::string address;
    uint16_t port = 0;
    int32_t max_connections = 0;
    std::string health_path;
    ServiceId service;
    InstanceId instance;
    bool operator==(const EndpointConfig&) const = default;
  };
  /// A connection to an endpoint.
  struct Connection {
    EndpointId endpoint;
    EndpointConfig config;  ///< As configured when the connection was opened.
    MonoTime opened;
    /// No request is sent on this connection after this time, because the upstream is about to
    /// close the connection.
    MonoTime idle_until = MonoTime::max();
    /// When an attempt was last answered on this connection. An upstream that answers an attempt
    /// twice sends the second answer soon after the first.
    MonoTime last_answered;
    MonoTime idle_since;  ///< When the connection last became idle.
    UnsuccessfulRequests unsuccessful;
    std::unique_ptr<HttpConnection> http;
  };
  using ConnectionPtr = std::unique_ptr<Connection>;
  /// An endpoint and its connections.
  struct EndpointPool {
    EndpointConfig config;
    std::vector<ConnectionPtr> idle;  ///< Idle connections, least recently used first.
    int32_t connections = 0;          ///< Number of connections, idle or in use.
  };
  /// An attempt or a probe that has not ended yet.
  struct Exchange {
    /// Whether another attempt may follow if this one ends without a response.
    bool CanBeSentAgain() const {
      return is_probe || idempotent || !connection->http->request_written();
    }

    ConnectionPtr connection;
    RequestId request_id;  ///< Empty for a probe.
    bool is_probe = false;
    bool idempotent = false;  ///< Of a call: it may run again.
    bool new_connection = false;
    MonoTime sent;
    MonoTime deadline;
  };

  /// Returns a new connection to an endpoint, or null if it cannot be created.
  ConnectionPtr NewConnection(const EndpointId& endpoint, const EndpointConfig& config);
  /// Returns an idle or a new connection to an endpoint, or null if the endpoint is unknown, has
  /// as many connections as its limit allows, or no connection can be created.
  /// @param request the request that the connection is for; empty for a probe.
  /// @param is_new receives whether the connection is new.
  ConnectionPtr AcquireConnection(const EndpointId& endpoint,
                                  const RequestId& request,
                                  bool* is_new);
  /// Takes out an idle connection on which an exchange of `request` can start; closes those that
  /// have become unusable. Returns null if there is none.
  ConnectionPtr TakeIdleConnection(EndpointPool* pool, const RequestId& request);
  /// Returns the idle connection for the next exchange: of those that have not carried `request`
  /// without success, the most recently used one on which a second answer to an earlier attempt can
  /// no longer arrive soon, or, if there is none, the most recently used one. Thus a call that
  /// follows a probe uses the connection that has just worked. Returns the end if every idle
  /// connection has carried the request.
  std::vector<ConnectionPtr>::iterator ChooseIdleConnection(EndpointPool* pool,
                                                            const RequestId& request) const;
  /// Closes the least recently used idle connection, if there is one.
  void CloseIdleConnection(EndpointPool* pool);
  void StartExchange(uint64_t id,
                     const SendAttempt& attempt,
                     const UpstreamRequest& request,
                     bool is_probe);
  /// Makes a connection idle, or closes it if the endpoint's address has changed or the endpoint
  /// was removed.
  void ReleaseConnection(ConnectionPtr connection);
  /// Closes a connection; it is destroyed later, outside its own callbacks.
  void DiscardConnection(ConnectionPtr connection);
  void OnExchangeDone(uint64_t id, HttpExchange result);
  /// Retries a probe on another connection after it failed on a connection that the upstream had
  /// dropped while the connection was idle. Also closes the connections that have been idle at
  /// least as long, because the upstream has probably dropped them too and a call that is lost on
  /// one of them might not be allowed to be retried.
  void RetryProbe(Exchange exchange);
  /// Closes the connection of an exchange and reports `outcome`. Has no effect if the exchange has
  /// ended.
  void AbortExchange(uint64_t id, AttemptOutcome outcome);
  void ReportResult(uint64_t id,
                    const Exchange& exchange,
                    HttpExchange result,
                    const UpstreamReply& reply);
  void AbortOverdueExchanges();
  void ScheduleDeadlineTimer();

  EventLoop* loop_;
  HttpConnection::Limits limits_;
  ResponseMemory memory_;  // Declared before the connections, which use it.
  const HttpDialect* dialect_;
  std::map<EndpointId, EndpointPool> endpoint_pools_;
  std::unordered_map<uint64_t, Exchange> exchanges_;  ///< By attempt id, or probe id | kProbeBit.
  std::set<std::pair<MonoTime, uint64_t>> deadlines_;
  std::vector<ConnectionPtr> discarded_;  ///< Closed; destroyed outside their own callbacks.
  uint64_t next_probe_ = 0;
  size_t connection_count_ = 0;
  uint64_t connections_passed_over_ = 0;
  Timer deadline_timer_;
  std::optional<MonoTime> deadline_timer_due_;  ///< When deadline_timer_ fires.
  Timer discard_timer_;
  sigc::signal<void(const AttemptResult&, HttpResponsePtr&)> attempt_ended_;
  sigc::signal<void(const ProbeResult&)> probe_ended_;
};

}  // namespace jd
