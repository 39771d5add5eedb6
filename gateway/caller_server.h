#pragma once

#include <sigc++/sigc++.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/random.h"
#include "gateway/caller_connection.h"
#include "gateway/http_dialect.h"
#include "gateway/settings.h"
#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/lingering_closer.h"
#include "net/request_memory.h"
#include "net/tcp_listener.h"
#include "policy/call_request.h"
#include "policy/refusal.h"

namespace jd {

/// The HTTP/1.1 server for callers: accepts connections, reports each complete request as a call
/// and writes the answers. A call ends with Answer, Refuse or Replay, or with the signal
/// caller_gone.
///
/// A caller may send further requests before the first one is answered. Idempotent ones are
/// reported as they arrive, others after the answers to those before them; the answers are written
/// in the order of the requests. What all callers have sent and what waits to be written to them is
/// limited together; above the limit the largest incomplete request is refused.
class CallerServer {
 public:
  /// @param seed seeds the generator of the ids of requests that have none.
  /// @param dialect must outlive the server.
  /// @throws ListenError if the port cannot be opened.
  CallerServer(EventLoop* loop,
               const Settings& settings,
               uint64_t seed,
               const HttpDialect* dialect);
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// Emitted when a request has arrived completely. Its request key is left empty, because the
  /// header that carries the key is configured in the profile of the service.
  sigc::signal<void(const CallRequest&)>& call_arrived() { return call_arrived_; }
  /// Emitted when the caller of an unanswered call has closed its connection; the call has ended.
  sigc::signal<void(CallId)>& caller_gone() { return caller_gone_; }
  /// Emitted when no connection is receiving a request, waiting for an answer or being answered any
  /// more.
  sigc::signal<void()>& became_idle() { return became_idle_; }
  /// Emitted when an invalid request was rejected without becoming a call; the argument is the HTTP
  /// status.
  sigc::signal<void(int)>& rejected() { return rejected_; }
  /// Emitted once after Close, when every connection is closed.
  sigc::signal<void()>& closed() { return closed_; }
  /// Sets the function that tells which requests may be executed more than once. Without it, none.
  void SetIdempotenceRule(CallerConnection::IsIdempotent is_idempotent) {
    is_idempotent_ = std::move(is_idempotent);
  }

  /// Returns the HTTP request of a call that has not ended.
  const HttpRequest& request(CallId call) const;
  /// Relays the complete response of an upstream to the caller; the body is moved out of
  /// `response`.
  void Answer(CallId call, const RequestId& request_id, const HttpResponse& response);
  /// Answers a call with a refusal by the gateway itself.
  void Refuse(CallId call, const RequestId& request_id, const Refusal& refusal);
  /// Answers a call with the response that was stored under its request key.
  void Replay(CallId call,
              const RequestId& request_id,
              int status,
              const std::string& content_type,
              const std::string& body);
  /// From now on adds "Connection: close" to the last answer of each connection. Idle connections
  /// stay open.
  void AnnounceClose() { close_announced_ = true; }
  /// Closes the connections that are between two requests, except those on which the next request
  /// has already arrived, and new ones whose first request may be on its way.
  void CloseIdleConnections();
  /// Accepts the connections that wait to be accepted, closes the port, and closes each connection
  /// once its last request is answered. Requests that arrive meanwhile must be answered as usual.
  void Close();
  /// Replaces the limits from the settings file. A request that has begun to arrive keeps its
  /// limits on the size of header and body.
  void SetLimits(const CallerLimits& limits);

  /// Returns whether no connection is receiving a request, waiting for an answer or being answered.
  bool idle() const;
  size_t connections() const { return connections_.size(); }
  /// Returns the memory that all callers take together.
  size_t memory_bytes() const { return memory_.used_bytes(); }
  uint16_t port() const { return listener_.port(); }

 private:
  void OnAccept(evutil_socket_t socket);
  static void OnReadable(bufferevent* stream, void* argument);
  static void OnWritten(bufferevent* stream, void* argument);
  static void OnEvent(bufferevent* stream, short what, void* argument);

  /// Reads as many requests as the connection may have at a time.
  void ProcessInput(CallerConnection* connection);
  /// Reads the next part of a request.
  /// @return whether more of the input can be read now.
  bool ReadRequest(CallerConnection* connection, evbuffer* input);
  void BeginRequest(CallerConnection* connection);
  /// Checks a complete header. @return false if the request was rejected.
  bool CheckHeader(CallerConnection* connection);
  /// Sends the interim response that a caller waits for, once the answers before it are written.
  void SendContinue(CallerConnection* connection);
  /// Adds a complete request to the calls of its connection.
  void AcceptRequest(CallerConnection* connection);
  /// Reports the calls that need not wait any longer.
  void StartCalls(CallerConnection* connection);
  /// Answers a request that is invalid or incomplete, and reads no further request.
  void Reject(CallerConnection* connection, int status, const std::string& error);
  /// Refuses a request that has not arrived completely, because callers take too much memory.
  void RefuseIncomplete(CallerConnection* connection);
  /// Adds a response that ends the connection, in place of the request that is being received.
  void EndWith(CallerConnection* connection, HttpResponse response);
  /// Sets the response of a call and writes it once the responses before it are written.
  void SetResponse(CallId call, HttpResponse response);
  /// Writes the responses that need not wait for another one.
  void WriteResponses(CallerConnection* connection);
  /// Drops the calls of a connection that will not be answered.
  void DropCalls(CallerConnection* connection);
  /// Counts the memory of a connection, and enforces the limit for all of them.
  void CountMemory(CallerConnection* connection);
  void EnforceMemoryLimit();
  /// Sets the limit on the memory of all callers, which has room for one request of maximum size.
  void ApplyMemoryLimit();
  /// @param lingers whether the caller may still be sending, so that closing at once would reset
  /// the connection.
  void CloseConnection(CallerConnection* connection, bool lingers);
  /// Closes the connections that exceed a time limit, and the longest idle ones if more are idle
  /// than allowed.
  void CloseExpiredConnections();
  /// Advances Close and schedules its next step.
  void ContinueClose();
  void SetState(CallerConnection* connection, CallerState state);
  CallerConnection* ConnectionOf(const RequestMemory::Part* part);

  EventLoop* loop_;
  Limits limits_;
  const HttpDialect* dialect_;
  RandomEngine random_;
  uint64_t next_call_ = 1;
  bool close_announced_ = false;  ///< AnnounceClose was called.
  RequestMemory memory_;          ///< Declared before the connections, which refer to it.
  std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>> connections_;
  /// Closed connections, which are destroyed outside their own callbacks.
  std::vector<std::unique_ptr<CallerConnection>> closed_connections_;
  std::unordered_map<CallId, CallerConnection*> calls_;  ///< Running calls.
  CallerConnection::IsIdempotent is_idempotent_;
  Timer expiry_timer_;
  Timer destroy_timer_;
  Timer close_timer_;
  LingeringCloser lingering_;
  TcpListener listener_;
  sigc::signal<void(const CallRequest&)> call_arrived_;
  sigc::signal<void(CallId)> caller_gone_;
  sigc::signal<void()> became_idle_;
  sigc::signal<void(int)> rejected_;
  sigc::signal<void()> closed_;
};

}  // namespace jd
