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

/// Sends the planned requests at their intended times and records how each one ends. A request
/// whose connection fails before anything was sent is tried at another target, as the platform's
/// balancer does; later failures are unknown.
class LoadClient {
 public:
  LoadClient(event_base* base, const LoadSettings& settings);
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;
  ~LoadClient();

  void Run();
  const std::vector<LoadSample>& samples() const { return samples_; }
  size_t connections_opened() const { return connections_.size(); }

 private:
  struct Call {
    LoadRequest request;
    std::vector<HostPort> tried;
  };
  /// A keep-alive connection; evhttp reconnects it when it is used after it was closed.
  struct Connection {
    LoadClient* client = nullptr;
    HostPort target;
    evhttp_connection* handle = nullptr;
    bool written = false;  ///< Bytes of the present request were given to the socket.
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

/// Runs the load, compares with the ledgers and prints the report as JSON.
/// @return 0 if nothing was wrong, lost, duplicated or refused as not run although it ran; else 1.
int RunLoad(const LoadSettings& settings);

}  // namespace jd
