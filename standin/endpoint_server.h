#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "standin/standin_http.h"
#include "standin/standin_loop.h"
#include "standin/upstream_model.h"

namespace jd {

/// The HTTP server of one simulated upstream endpoint. `UpstreamModel` decides how the endpoint
/// behaves.
class EndpointServer {
 public:
  EndpointServer(event_base* base,
                 const EndpointSettings& settings,
                 uint64_t seed,
                 std::string crash_marker,
                 RunLedger* ledger);

  UpstreamModel& model() { return model_; }
  /// Simulates a crash: closes all connections and refuses new ones for `down_for`. The endpoint is
  /// cold afterwards.
  void Crash(Duration down_for);
  /// Stops answering on the connections that are open now. New connections work.
  void SilenceConnections();

 private:
  struct Connection {
    EndpointServer* server = nullptr;
    uint64_t token = 0;   ///< Token of the request that waits for its answer, or 0.
    bool silent = false;  ///< Requests on this connection are not answered.
  };
  /// A request that waits for its answer.
  struct Pending {
    evhttp_request* request = nullptr;
    evhttp_connection* connection = nullptr;
    std::string request_id;
    std::string body_hash;
    bool probe = false;
  };

  void Serve(evhttp_request* request);
  void RefuseConnection(evhttp_request* request);
  UpstreamJob ParseJob(evhttp_request* request, const std::string& body, bool new_connection);
  void OnConnectionClosed(evhttp_connection* connection);
  void ApplyOutput(const UpstreamOutput& out);
  void SendAnswer(const UpstreamAnswer& answer);
  void AdvanceModel();

  StandinTimer timer_;
  StandinTimer reopen_timer_;
  UpstreamModel model_;
  RunLedger* ledger_;
  std::string crash_marker_;
  uint64_t last_token_ = 0;
  std::map<evhttp_connection*, Connection> connections_;
  std::map<uint64_t, Pending> pending_;
  StandinHttp http_;  ///< Declared last: its destructor calls back into the other members.
};

}  // namespace jd
