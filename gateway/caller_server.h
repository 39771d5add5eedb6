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
#include "gateway/http_server.h"
#include "gateway/settings.h"
#include "net/event_loop.h"
#include "net/http_message.h"
#include "net/lingering_closer.h"
#include "policy/call_request.h"
#include "policy/refusal.h"

namespace jd {

/// The HTTP/1.1 server for callers: accepts connections, reports each complete request as a call
/// and writes the answers. A call ends with Answer, Refuse or Replay, or with the signal
/// caller_gone.
class CallerServer {
 public:
  /// @param seed seeds the generator of the ids of requests that have none.
  /// @param dialect must outlive the server.
  /// @throws std::runtime_error if the port cannot be opened.
  CallerServer(EventLoop* loop,
               const Settings& settings,
               uint64_t seed,
               const HttpDialect* dialect);
  ~CallerServer();
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

  /// Returns the HTTP request of a call that has not ended.
  evhttp_request* request(CallId call) const { return calls_.at(call); }
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
  /// From now on adds "Connection: close" to each answer. Idle connections stay open.
  void AnnounceClose() { close_announced_ = true; }
  /// Closes the connections that are between two requests, except those on which the next request
  /// has already arrived, and new ones whose first request may be on its way.
  void CloseIdleConnections();
  /// Accepts the connections that wait to be accepted, closes the port, and closes each connection
  /// once its last request is answered. Requests that arrive meanwhile must be answered as usual.
  void Close();
  /// Replaces the limits from the settings file; open connections keep their limits on the size of
  /// headers and bodies.
  void SetLimits(const CallerLimits& limits);

  /// Returns whether no connection is receiving a request, waiting for an answer or being answered.
  bool idle() const { return busy_connections() == 0; }
  size_t connections() const { return connections_.size(); }
  uint16_t port() const { return port_; }

 private:
  static bufferevent* CreateStream(event_base* base, void* argument);
  static void OnRequest(evhttp_request* request, void* argument);
  static void OnClose(evhttp_connection* http, void* argument);
  static void OnInput(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);
  static void OnAnswerWritten(evhttp_request* request, void* argument);

  /// Sets the limits that evhttp enforces itself.
  void ApplyLimits();
  /// Creates the CallerConnection of each connection that was accepted since the last call.
  void RegisterConnections();
  /// Updates the state of a connection with the bytes in its input buffer from `offset` on.
  void TrackRequestBytes(CallerConnection* connection, size_t offset);
  /// Closes the connections whose CallerConnection has `must_close` set.
  void CloseMarkedConnections();
  /// Validates a complete request, then reports it as a call or rejects it.
  void HandleRequest(CallerConnection* connection, evhttp_request* request);
  /// Answers an invalid request with status 400 and closes the connection.
  void RejectRequest(CallerConnection* connection,
                     evhttp_request* request,
                     const std::string& error);
  /// Writes an answer; adds "Connection: close" after AnnounceClose.
  void SendReply(evhttp_request* request, int status, evbuffer* body);
  /// Removes a call and prepares its connection for writing the answer.
  /// @return the request, which the caller of this function must answer.
  evhttp_request* BeginAnswer(CallId call);
  /// Closes the connections that exceed a time limit, and the longest idle ones if more are idle
  /// than allowed.
  void CloseExpiredConnections();
  /// Advances Close and schedules its next step.
  void ContinueClose();
  /// Returns the number of connections that are not idle.
  size_t busy_connections() const;
  void SetState(CallerConnection* connection, CallerState state);

  EventLoop* loop_;
  Limits limits_;
  const HttpDialect* dialect_;
  RandomEngine random_;
  uint16_t port_ = 0;
  HttpServerPtr http_;
  uint64_t next_call_ = 1;
  bool close_announced_ = false;  ///< AnnounceClose was called.
  std::unordered_map<evhttp_connection*, std::unique_ptr<CallerConnection>> connections_;
  std::unordered_map<CallId, evhttp_request*> calls_;
  /// Streams of accepted connections that have no CallerConnection yet.
  std::vector<bufferevent*> unregistered_streams_;
  Timer register_timer_;
  Timer expiry_timer_;
  Timer close_marked_timer_;
  Timer close_timer_;
  bool listening_ = true;
  LingeringCloser lingering_;
  sigc::signal<void(const CallRequest&)> call_arrived_;
  sigc::signal<void(CallId)> caller_gone_;
  sigc::signal<void()> became_idle_;
  sigc::signal<void(int)> rejected_;
  sigc::signal<void()> closed_;
};

}  // namespace jd
