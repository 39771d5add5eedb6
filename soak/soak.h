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

struct SoakSettings {
  uint64_t seed = 1;
  Duration length = 20s;  ///< Time with faults.
  int gateways = 5;
  int endpoints = 9;
  std::string program;    ///< The product.
  std::string directory;  ///< For settings files and logs.
};

/// Runs gateways as processes of their own against a store, upstreams and callers in this process,
/// injects the faults of a plan from outside them and checks what the gateways promise.
class Soak {
 public:
  Soak(event_base* base, SoakSettings settings);

  /// Runs to the end. @return what was seen that no promise allows.
  const std::vector<std::string>& Run();
  const Promises& promises() const { return promises_; }
  size_t faults() const { return faults_; }

 private:
  struct Gateway {
    std::unique_ptr<TcpProxy> store_link;
    std::unique_ptr<GatewayProcess> process;
    int disturbances = 0;
    bool may_end = false;  ///< It was told to end.
    MonoTime restart;
    MonoTime started;
  };
  struct Upstream {
    std::unique_ptr<SoakUpstream> server;
    std::string zone;
    uint64_t runs = 0;
    bool listed = false;
    bool leaving = false;
    int disturbances = 0;
  };
  using Action = std::function<void()>;

  void AddUpstream(uint64_t index);
  void AddGateway(uint64_t index);
  void StartUpstream(Upstream* upstream);
  void Write(const std::string& table, const std::string& key, const std::string& value);
  void WriteEndpoint(Upstream* upstream);
  void Beat();
  void Advance();
  void WatchProcesses();
  void After(Duration delay, Action action);

  void Apply(const Fault& fault);
  void DisturbStore(RowFault kind, Duration length);
  void LapseRows(Duration length);
  void DisturbGateway(Gateway* gateway, bool cuts, Duration length, const Action& undo);
  void CutStoreLink(Gateway* gateway, LinkFault fault, Duration length);
  void DisturbEndpoint(Upstream* upstream, LinkFault fault, Duration length);
  void SilenceEndpoint(Upstream* upstream);
  void Crash(Upstream* upstream, Duration length);
  void Leave(Upstream* upstream);
  void TakeZoneOut(const std::string& zone, Duration length);
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
  std::multimap<MonoTime, Action> actions_;
  std::map<std::string, int> zones_out_;
  int store_disturbances_ = 0;
  bool rows_lapse_ = false;
  uint64_t version_ = 0;
  uint64_t beat_ = 0;
  size_t faults_ = 0;
  StandinTimer timer_;
};

}  // namespace jd
