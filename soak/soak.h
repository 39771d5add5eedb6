#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "soak/fault_plan.h"
#include "soak/gateway_process.h"
#include "soak/promises.h"
#include "soak/soak_callers.h"
#include "soak/soak_upstream.h"
#include "standin/row_server.h"

namespace jd {

/// Command-line settings of a soak run.
struct SoakSettings {
  uint64_t seed = 1;
  Duration length = 20s;  ///< Length of the phase with faults.
  int gateways = 5;
  int endpoints = 9;
  std::string program;    ///< Path of the jackdawdeck program.
  std::string directory;  ///< Directory of settings files and logs.
};

/// Runs gateways as child processes against a store, upstreams and callers in this process, injects
/// the faults of a plan from outside the gateways and checks the guarantees of the gateways.
class Soak {
 public:
  Soak(event_base* base, SoakSettings settings);

  /// Runs all phases of the soak; blocks until the end. @return the violated guarantees.
  const std::vector<std::string>& Run();
  const Promises& promises() const { return promises_; }
  /// Number of injected faults.
  size_t faults() const { return faults_; }

 private:
  struct Gateway {
    std::unique_ptr<TcpProxy> store_link;
    std::unique_ptr<GatewayProcess> process;
    int disturbances = 0;  ///< Number of active faults.
    bool may_end = false;  ///< The soak sent a signal that ends the process.
    MonoTime restart;      ///< When to start the process again; zero while it runs.
    MonoTime started;      ///< Time of the last restart; zero before the first.
  };
  struct Upstream {
    std::unique_ptr<SoakUpstream> server;
    std::string zone;
    uint64_t runs = 0;     ///< Number of starts; part of the instance id.
    bool listed = false;   ///< Its row in the store is renewed.
    bool leaving = false;  ///< Its row says that it drains.
    int disturbances = 0;  ///< Number of active link faults.
  };
  using Action = std::function<void()>;

  void AddUpstream(uint64_t index);
  void AddGateway(uint64_t index);
  void StartUpstream(Upstream* upstream);
  /// Writes one row to the store, unaffected by injected store faults.
  void Write(const std::string& table, const std::string& key, const std::string& value);
  /// Writes the row of an endpoint, unless its row is meant to be missing.
  void WriteEndpoint(Upstream* upstream);
  /// Renews the rows of all running endpoints, now and periodically.
  void Beat();
  /// Timer callback: runs due actions and watches the gateway processes.
  void Advance();
  /// Restarts gateways that have ended; an end that the soak did not cause is a violation.
  void WatchProcesses();
  /// Runs `action` once after `delay`.
  void After(Duration delay, Action action);

  /// Prints a fault and starts it.
  void Apply(const Fault& fault);
  void DisturbStore(RowFault kind, Duration length);
  /// Makes the store unavailable and removes all endpoint rows, as if they had expired.
  void LapseRows(Duration length);
  /// Marks a gateway as faulty for `length`, then runs `undo`.
  /// @param cuts whether the fault may end connections with unanswered requests.
  void DisturbGateway(Gateway* gateway, bool cuts, Duration length, const Action& undo);
  void CutStoreLink(Gateway* gateway, LinkFault fault, Duration length);
  void DisturbEndpoint(Upstream* upstream, LinkFault fault, Duration length);
  /// Stops all data on the open connections to an endpoint; new connections work.
  void SilenceEndpoint(Upstream* upstream);
  /// Crashes an endpoint and starts a new instance after `length`.
  void Crash(Upstream* upstream, Duration length);
  /// Drains an endpoint and restarts it after a while.
  void Leave(Upstream* upstream);
  void TakeZoneOut(const std::string& zone, Duration length);
  /// Writes the next configuration version to the store.
  void Configure();
  void Terminate(Gateway* gateway);
  void HangUp(const Gateway& gateway);
  void Kill(Gateway* gateway, Duration length);
  void Pause(Gateway* gateway, Duration length);

  event_base* base_;
  SoakSettings settings_;
  MonoTime now_;
  Promises promises_;
  RowServer store_;
  uint16_t store_port_;
  std::unique_ptr<StandinHttp> store_http_;
  std::vector<Upstream> upstreams_;
  std::vector<Gateway> gateways_;
  SoakCallers callers_;
  std::multimap<MonoTime, Action> actions_;  ///< Scheduled actions by due time.
  std::map<std::string, int> zones_out_;     ///< Active evacuations by zone.
  int store_disturbances_ = 0;
  bool rows_lapse_ = false;  ///< Endpoint rows are missing; none are written.
  uint64_t version_ = 0;     ///< Latest configuration version.
  uint64_t beat_ = 0;        ///< Sequence number of the last endpoint row.
  size_t faults_ = 0;
  StandinTimer timer_;
};

}  // namespace jd
