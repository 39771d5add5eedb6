#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standin/load_settings.h"
#include "standin/load_tally.h"
#include "standin/standin_loop.h"

namespace jd {

/// Load generator: sends the planned requests at their intended times (open loop) and records how
/// each one ends. If a connection fails before any byte of the request was sent, the request is
/// retried at another target, as the platform's balancer does. If it fails later, the outcome of
/// the request is unknown.
class LoadClient {
 public:
  LoadClient(event_base* base, const LoadSettings& settings);
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;
  ~LoadClient();

  /// Runs the event loop until every planned request has ended.
  void Run();
  const std::vector<LoadSample>& samples() const { return samples_; }
  size_t connections_opened() const { return connections_.size(); }

 private:
  struct Call {
    LoadRequest request;
    std::vector<HostPort> tried;  ///< Targets to which the request was already assigned.
  };
  /// A keep-alive connection. If it was closed, evhttp reconnects it on the next request.
  struct Connection {
    LoadClient* client = nullptr;
    HostPort target;
    evhttp_connection* handle = nullptr;
    bool written = false;  ///< Bytes of the current request were passed to the socket.
    std::optional<Call> call;
  };

  void RefreshTargets();
  void SetTargets(const std::string& balancer_body);
  void SendDue();
  void Send(Call call);
  Connection* TakeConnection(const HostPort& target);
  void OnAnswer(Connection* connection, evhttp_request* answer);
  void OnFailed(Connection* connection);
  void Record(const LoadRequest& request,
              LoadOutcome outcome,
              const std::string& reason,
              const std::string& verdict);
  void RecordRefusal(const LoadRequest& request, evhttp_request* answer, int status);
  Duration Elapsed() const { return ReadStandinClocks().mono - start_; }
  void StopWhenDone();

  event_base* base_;
  LoadSettings settings_;
  LoadPlan plan_;
  RandomEngine random_;
  MonoTime start_;
  LoadRequest next_;
  uint64_t planned_ = 0;
  bool all_sent_ = false;
  size_t open_calls_ = 0;
  bool fetching_ = false;
  std::vector<HostPort> targets_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::map<HostPort, std::vector<Connection*>> idle_;
  std::vector<LoadSample> samples_;
  StandinTimer send_timer_;
  StandinTimer refresh_timer_;
};

/// Generates the load, compares the outcomes with the upstreams' ledgers and prints the report as
/// JSON.
/// @return 0 if every ledger could be read, no answer was wrong, and no request was lost,
/// duplicated or refused as "not run" although it ran; else 1.
int RunLoad(const LoadSettings& settings);

}  // namespace jd
