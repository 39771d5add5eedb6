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
#include "net/http_connection.h"
#include "policy/call_request.h"
#include "policy/refusal.h"

namespace jd {

/// The callers' side: accepts HTTP/1.1 connections, announces whole requests as calls, and writes
/// their answers. Each call is ended by Answer, Refuse or Replay, or by the signal caller_gone.
class CallerServer {
 public:
  /// @throws std::runtime_error if the port cannot be opened.
  CallerServer(EventLoop* loop,
               const Settings& settings,
               uint64_t seed,
               const HttpDialect* dialect);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /// A request arrived whole; its request key is left for the receiver, who knows the profile.
  sigc::signal<void(const CallRequest&)>& call_arrived() { return call_arrived_; }
  /// The caller of an unanswered call closed its connection.
  sigc::signal<void(CallId)>& caller_gone() { return caller_gone_; }
  /// No connection is receiving a request, waiting for an answer or being answered any more.
  sigc::signal<void()>& became_quiet() { return became_quiet_; }
  /// A request was answered by this class alone; the argument is the status.
  sigc::signal<void(int)>& rejected() { return rejected_; }

  /// Returns the request of a call that is not answered yet.
  evhttp_request* request(CallId call) const { return calls_.at(call); }
  /// Relays a whole response; its body is moved.
  void Answer(CallId call, const RequestId& request, evhttp_request* response);
  void Refuse(CallId call, const RequestId& request, const Refusal& refusal);
  void Replay(CallId call,
              const RequestId& request,
              int status,
              const std::string& content_type,
              const std::string& body);
  /// Asks callers to open no further requests on their connections; idle ones are kept.
  void AnnounceClose() { closing_ = true; }
  void CloseIdle();
  /// Replaces the limits of the settings; open connections keep the sizes they began with.
  void SetLimits(const CallerLimits& limits);

  bool quiet() const { return busy() == 0; }
  size_t connections() const { return connections_.size(); }
  uint16_t port() const { return port_; }

 private:
  static bufferevent* NewStream(event_base* base, void* argument);
  static void OnRequest(evhttp_request* request, void* argument);
  static void OnClose(evhttp_connection* http, void* argument);
  static void OnInput(evbuffer* buffer, const evbuffer_cb_info* info, void* argument);
  static void OnAnswered(evhttp_request* request, void* argument);

  void ApplyLimits();
  void AdoptConnections();
  void Follow(CallerConnection* connection, size_t offset);
  void CloseBroken();
  void Receive(CallerConnection* connection, evhttp_request* request);
  void Reject(CallerConnection* connection, evhttp_request* request, const std::string& fault);
  void Reply(evhttp_request* request, int status, evbuffer* body);
  evhttp_request* EndCall(CallId call);
  void Sweep();
  size_t busy() const;
  void SetState(CallerConnection* connection, CallerState state);

  EventLoop* loop_;
  Limits limits_;
  const HttpDialect* dialect_;
  RandomEngine random_;
  uint16_t port_ = 0;
  HttpServerPtr http_;
  uint64_t next_call_ = 1;
  bool closing_ = false;
  std::unordered_map<evhttp_connection*, std::unique_ptr<CallerConnection>> connections_;
  std::unordered_map<CallId, evhttp_request*> calls_;
  std::vector<bufferevent*> fresh_;  ///< Accepted, but not yet known by their evhttp connection.
  Timer adopt_;
  Timer sweep_;
  Timer close_broken_;
  sigc::signal<void(const CallRequest&)> call_arrived_;
  sigc::signal<void(CallId)> caller_gone_;
  sigc::signal<void()> became_quiet_;
  sigc::signal<void(int)> rejected_;
};

}  // namespace jd
