#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "soak/fault_plan.h"
#include "soak/gateway_process.h"
#include "soak/guarantee_checker.h"
#include "soak/soak_callers.h"
#include "soak/soak_upstream.h"
#include "standin/row_server.h"

namespace jd {

/// Command-line settings of a soak run.
struct SoakSettings {
  uint64_t seed = 1;
  Duration duration = 20s;  ///< Length of the phase with faults.
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
  const GuaranteeChecker& checker() const { return checker_; }
  /// Number of injected faults.
  size_t faults() const { return fault_count_; }

 private:
  struct Gateway {
    std::unique_ptr<TcpProxy> store_link;
    std::unique_ptr<StandinHttp> port_holder;  ///< Holds its status port; null if nobody does.
    std::unique_ptr<GatewayProcess> process;
    int active_faults = 0;      ///< Number of active faults.
    bool end_expected = false;  ///< The soak sent a signal that ends the process.
    MonoTime restart_at;        ///< When to start the process again; zero while it runs.
    MonoTime restarted_at;      ///< Time of the last restart; zero before the first.
  };
  struct Upstream {
    std::unique_ptr<SoakUpstream> server;
    std::string zone;
    uint64_t starts = 0;       ///< Number of starts; part of the instance id.
    bool row_renewed = false;  ///< Its row in the store is renewed.
    bool leaving = false;      ///< Its row says that it drains.
    int active_faults = 0;     ///< Number of active link faults.
  };
  using Action = std::function<void()>;

  void AddUpstream(uint64_t index);
  void AddGateway(uint64_t index);
  void StartUpstream(Upstream* upstream);
  /// Writes one row to the store, unaffected by injected store faults.
  void WriteRow(const std::string& table, const std::string& key, const std::string& value);
  /// Writes the row of an endpoint, unless its row is meant to be missing.
  void WriteEndpointRow(Upstream* upstream);
  /// Renews the rows of all running endpoints, now and periodically.
  void RenewEndpointRows();
  /// Timer callback: runs due actions and watches the gateway processes.
  void OnTimer();
  /// Restarts gateways that have ended; an end that the soak did not cause is a violation.
  void RestartEndedGateways();
  /// Runs `action` once after `delay`.
  void RunAfter(Duration delay, Action action);

  void PrintFault(const Fault& fault) const;
  /// Prints a fault and starts it.
  void InjectFault(const Fault& fault);
  /// Starts a fault that a signal to a gateway or a port of it causes.
  void InjectGatewayFault(const Fault& fault);
  void InjectStoreFault(RowFault kind, Duration duration);
  /// Makes the store unavailable and removes all endpoint rows, as if they had expired.
  void ExpireEndpointRows(Duration duration);
  /// Makes the store silent, then brings it back from a copy; operators and endpoints write again.
  void RestoreStore(Duration outage);
  /// Removes the rows of endpoints that no longer run.
  void RemoveStaleEndpointRows();
  /// Reports the gateways that the store does not list.
  void CheckGatewaysListed();
  /// Makes an endpoint name a limit for `duration`.
  void LimitEndpoint(Upstream* upstream, uint64_t pick, Duration duration);
  /// Marks a gateway as faulty for `duration`, then runs `undo`.
  /// @param interrupts_requests whether the fault may end connections with unanswered requests.
  void MarkGatewayFaulty(Gateway* gateway,
                         bool interrupts_requests,
                         Duration duration,
                         const Action& undo);
  void InjectStoreLinkFault(Gateway* gateway, LinkFault fault, Duration duration);
  void InjectEndpointLinkFault(Upstream* upstream, LinkFault fault, Duration duration);
  /// Stops all data on the open connections to an endpoint; new connections work.
  void SilenceEndpointConnections(Upstream* upstream);
  /// Crashes an endpoint and starts a new instance after `duration`.
  void CrashEndpoint(Upstream* upstream, Duration duration);
  /// Drains an endpoint and restarts it after a while.
  void DrainEndpoint(Upstream* upstream);
  /// Lets an endpoint say in its answers that it leaves, while its row does not, and restarts it
  /// after a while.
  void SayLeaving(Upstream* upstream);
  /// Lets an endpoint want nothing for `duration`.
  void WantNothing(Upstream* upstream, Duration duration);
  void TakeZoneOut(const std::string& zone, Duration duration);
  /// Writes the next configuration version to the store.
  void WriteNextConfiguration();
  void TerminateGateway(Gateway* gateway);
  void SendHangUpSignal(const Gateway& gateway);
  /// Lets another writer leave a row among those of the endpoints for `duration`.
  void WriteOddRow(uint64_t pick, Duration duration);
  /// Kills a gateway and holds its status port for `duration`, while it starts again.
  void HoldPort(Gateway* gateway, Duration duration);
  void KillGateway(Gateway* gateway, Duration duration);
  void PauseGateway(Gateway* gateway, Duration duration);

  event_base* base_;
  SoakSettings settings_;
  MonoTime now_;
  GuaranteeChecker checker_;
  RowServer store_;
  uint16_t store_port_;
  std::unique_ptr<StandinHttp> store_http_;
  std::vector<Upstream> upstreams_;
  std::vector<Gateway> gateways_;
  SoakCallers callers_;
  std::multimap<MonoTime, Action> actions_;  ///< Scheduled actions by due time.
  std::map<std::string, int> zones_out_;     ///< Active evacuations by zone.
  int active_store_faults_ = 0;
  bool rows_expired_ = false;           ///< Endpoint rows are missing; none are written.
  uint64_t configuration_version_ = 0;  ///< Latest configuration version.
  uint64_t copy_version_ = 0;           ///< Version of the latest copy of the store.
  uint64_t next_copy_version_ = 0;  ///< Version of the copy that is used from the next renewal on.
  uint64_t row_sequence_ = 0;       ///< Sequence number of the last endpoint row.
  size_t fault_count_ = 0;
  StandinTimer timer_;
};

}  // namespace jd
