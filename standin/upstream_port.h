#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "standin/standin_http.h"
#include "standin/standin_loop.h"
#include "standin/upstream_model.h"

namespace jd {

/// The port and connections of one upstream endpoint; its behaviour is in `UpstreamModel`.
class UpstreamPort {
 public:
  UpstreamPort(event_base* base,
               const UpstreamEndpoint& settings,
               uint64_t seed,
               std::string crash_marker,
               RunLedger* ledger);

  UpstreamModel& model() { return model_; }
  /// Closes all connections, refuses new ones for a while and comes back cold.
  void Crash(Duration down_for);
  /// Connections open now never answer again; new ones work.
  void SilenceConnections();

 private:
  struct Connection {
    UpstreamPort* port = nullptr;
    uint64_t token = 0;  ///< The request that waits for an answer; 0 if none.
    bool silent = false;
  };
  struct Pending {
    evhttp_request* request = nullptr;
    evhttp_connection* connection = nullptr;
    std::string request_id;
    std::string body_hash;
    bool probe = false;
  };

  void Serve(evhttp_request* request);
  void RefuseConnection(evhttp_request* request);
  UpstreamWork MakeWork(evhttp_request* request, const std::string& body, bool new_connection);
  void OnClosed(evhttp_connection* connection);
  void Perform(const UpstreamOutput& out);
  void Answer(const UpstreamAnswer& answer);
  void Tick();

  StandinTimer timer_;
  StandinTimer reopen_;
  UpstreamModel model_;
  RunLedger* ledger_;
  std::string crash_marker_;
  uint64_t last_token_ = 0;
  std::map<evhttp_connection*, Connection> connections_;
  std::map<uint64_t, Pending> pending_;
  StandinHttp http_;  ///< Last, so that it closes its connections while the rest exists.
};

}  // namespace jd
