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
    std::vector<HostPort> tried;  ///< Targets that were already tried.
  };
  /// A keep-alive connection. If it was closed, evhttp reconnects it on the next request.
  struct Connection {
    LoadClient* client = nullptr;
    HostPort target;
    evhttp_connection* handle = nullptr;
    bool request_sent = false;  ///< Bytes of the current request were passed to the socket.
    std::optional<Call> call;
  };

  /// Fetches the balancer list of the platform every 200 ms.
  void RefreshTargets();
  void SetTargets(const std::string& balancer_body);
  /// Sends every request whose arrival time has come and sets the timer for the next one.
  void SendDueRequests();
  /// Sends a call to a random target that it has not tried yet.
  void Send(Call call);
  /// Returns an idle connection to a target, or a new one.
  Connection* AcquireConnection(const HostPort& target);
  void OnAnswer(Connection* connection, evhttp_request* answer);
  void OnConnectionFailed(Connection* connection);
  void RecordSample(const LoadRequest& request,
                    LoadOutcome outcome,
                    const std::string& reason,
                    const std::string& verdict);
  /// Records a request that ended with a status other than 200 as refused or failed.
  void RecordRefusal(const LoadRequest& request, evhttp_request* answer, int status);
  Duration Elapsed() const { return ReadStandinClocks().mono - start_time_; }
  void StopWhenDone();

  event_base* base_;
  LoadSettings settings_;
  LoadPlan plan_;
  RandomEngine random_;
  MonoTime start_time_;
  LoadRequest next_request_;
  uint64_t sent_requests_ = 0;
  bool all_sent_ = false;
  size_t calls_in_flight_ = 0;
  bool refresh_pending_ = false;
  std::vector<HostPort> targets_;
  std::vector<std::unique_ptr<Connection>> connections_;
  std::map<HostPort, std::vector<Connection*>> idle_connections_;
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
