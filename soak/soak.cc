#include "soak/soak.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <set>
#include <string>
#include <utility>

#include "platform/store_rows.h"
#include "soak/soak_environment.h"

namespace jd {
namespace {

constexpr const char* kZones[] = {"north", "middle", "south"};
constexpr uint64_t kZoneCount = 3;
constexpr int kCallersPerGateway = 4;
// Requests per second that an endpoint may name as its limit.
constexpr std::array<double, 5> kLimits = {0, 0.5, 2, 5, 10};
constexpr Duration kTickInterval = 5ms;
constexpr Duration kRowRenewalInterval = 1500ms;
// An endpoint row that is not renewed expires after this time: three renewal intervals.
constexpr Duration kRowLifetime = 4500ms;
// Time for the gateways to start before their callers do.
constexpr Duration kGatewayStartTime = 3s;
// Callers keep sending for this time after the recovery time, to show whether requests are served.
constexpr Duration kFinalLoadTime = 3s;
// Time after the last request for outstanding answers to arrive.
constexpr Duration kFinalAnswerTime = 2s;
// Time between SIGTERM and the moment when the platform would kill the process.
constexpr Duration kTerminationGracePeriod = 6s;
constexpr Duration kRestartDelay = 300ms;
// Time in which a new process is loaded and reaches its main function.
constexpr Duration kProgramLoadTime = 200ms;
constexpr Duration kEndpointDelay = 150ms;
constexpr Duration kStoreDelay = 400ms;
// A leaving server keeps serving for this time after its row in the store says that it leaves.
constexpr Duration kLeavingServiceTime = 3s;

}  // namespace

Soak::Soak(event_base* base, SoakSettings settings)
    : base_(base),
      settings_(std::move(settings)),
      store_(base),
      store_port_(NextFreePort()),
      callers_(base, settings_.seed, &checker_),
      timer_(base, [this] { OnTimer(); }) {
  now_ = ReadStandinClocks().mono;
  store_http_ = std::make_unique<StandinHttp>(
      base, store_port_, [this](evhttp_request* request) { store_.Serve(request); });
  upstreams_.reserve(static_cast<size_t>(settings_.endpoints));
  for (int i = 0; i < settings_.endpoints; ++i) {
    AddUpstream(static_cast<uint64_t>(i));
  }
  WriteNextConfiguration();
  gateways_.reserve(static_cast<size_t>(settings_.gateways));
  for (int i = 0; i < settings_.gateways; ++i) {
    AddGateway(static_cast<uint64_t>(i));
  }
}

const std::vector<std::string>& Soak::Run() {
  const Duration faults_end = kGatewayStartTime + settings_.duration;
  for (const Fault& fault : PlanFaults(settings_.seed, settings_.duration)) {
    RunAfter(kGatewayStartTime + fault.start, [this, fault] { InjectFault(fault); });
  }
  RunAfter(kGatewayStartTime, [this] {
    for (const Gateway& gateway : gateways_) {
      const GatewayConfig& config = gateway.process->config();
      for (int i = 0; i < kCallersPerGateway; ++i) {
        callers_.AddCaller(config.name, config.callers_port);
      }
    }
  });
  // Allows for faults that are still active at the end of the phase with faults.
  const Duration all_faults_end = faults_end + 8s;
  RunAfter(all_faults_end, [this] { checker_.OnAllFaultsEnded(now_); });
  const Duration load_end = all_faults_end + GuaranteeChecker::kRecoveryTime + kFinalLoadTime;
  RunAfter(load_end, [this] { callers_.StopSending(); });
  RunAfter(load_end + kFinalAnswerTime, [this] { event_base_loopbreak(base_); });
  RenewEndpointRows();
  timer_.Arm(kTickInterval);
  event_base_dispatch(base_);
  CheckGatewaysListed();
  checker_.Finish(now_);
  return checker_.violations();
}

void Soak::AddUpstream(uint64_t index) {
  Upstream& upstream = upstreams_.emplace_back();
  upstream.zone = kZones[index % kZoneCount];
  upstream.server = std::make_unique<SoakUpstream>(
      base_, NextFreePort(), settings_.seed + index,
      [this, index](const std::string& request, bool runs) {
        const Upstream& receiver = upstreams_[index];
        checker_.OnRequestArrived(ReadStandinClocks().mono, request, receiver.server->instance(),
                                  receiver.zone, runs);
      });
  StartUpstream(&upstream);
}

void Soak::AddGateway(uint64_t index) {
  Gateway& gateway = gateways_.emplace_back();
  gateway.store_link = std::make_unique<TcpProxy>(base_, store_port_);
  GatewayConfig config;
  config.name = "gateway-" + std::to_string(index + 1);
  config.zone = kZones[index % kZoneCount];
  config.callers_port = NextFreePort();
  config.status_port = NextFreePort();
  config.peer_port = NextFreePort();
  config.store_port = gateway.store_link->port();
  gateway.process =
      std::make_unique<GatewayProcess>(settings_.program, settings_.directory, std::move(config));
  gateway.process->Start();
}

void Soak::StartUpstream(Upstream* upstream) {
  const auto index = static_cast<size_t>(upstream - upstreams_.data());
  upstream->server->Start("e" + std::to_string(index + 1) + "-" +
                          std::to_string(++upstream->starts));
  upstream->leaving = false;
  upstream->row_renewed = true;
  WriteEndpointRow(upstream);
}

void Soak::WriteRow(const std::string& table, const std::string& key, const std::string& value) {
  RowRequest request;
  request.path = "/api/rows-tx";
  request.body = BuildWriteRequest(table, key, value).body;
  store_.store().Handle(now_, request, Duration(0));
}

void Soak::WriteEndpointRow(Upstream* upstream) {
  if (upstream->row_renewed && !rows_expired_) {
    WriteRow("servers", upstream->server->instance(),
             MakeSoakEndpointRow(upstream->zone, upstream->server->proxy().port(),
                                 upstream->leaving, ++row_sequence_));
  }
}

void Soak::RenewEndpointRows() {
  for (Upstream& upstream : upstreams_) {
    if (upstream.server->running()) {
      WriteEndpointRow(&upstream);
    }
  }
  copy_version_ = std::exchange(next_copy_version_, store_.store().version());
  RunAfter(kRowRenewalInterval, [this] { RenewEndpointRows(); });
}

void Soak::OnTimer() {
  now_ = ReadStandinClocks().mono;
  while (!actions_.empty() && actions_.begin()->first <= now_) {
    const Action action = std::move(actions_.begin()->second);
    actions_.erase(actions_.begin());
    action();
  }
  RestartEndedGateways();
  timer_.Arm(kTickInterval);
}

void Soak::RestartEndedGateways() {
  for (Gateway& gateway : gateways_) {
    if (gateway.restart_at > now_ || gateway.process->process().Running()) {
      continue;
    }
    if (gateway.restart_at == MonoTime()) {
      if (!gateway.end_expected) {
        checker_.ReportViolation(gateway.process->config().name +
                                 " ended unexpectedly with wait status " +
                                 std::to_string(gateway.process->process().exit_status()));
      }
      gateway.restart_at = now_ + kRestartDelay;
      continue;
    }
    gateway.restart_at = MonoTime();
    gateway.end_expected = false;
    gateway.restarted_at = now_;
    gateway.process->Start();
  }
}

void Soak::RunAfter(Duration delay, Action action) {
  actions_.emplace(ReadStandinClocks().mono + delay, std::move(action));
}

void Soak::PrintFault(const Fault& fault) const {
  std::printf("%8.3f fault %s pick=%llu length_ms=%lld\n",
              std::chrono::duration<double>(now_.time_since_epoch()).count(),
              FaultKindName(fault.kind), static_cast<unsigned long long>(fault.target_index),
              static_cast<long long>(fault.duration.count() / 1000));
}

void Soak::InjectFault(const Fault& fault) {
  Gateway* gateway = &gateways_[fault.target_index % gateways_.size()];
  Upstream* upstream = &upstreams_[fault.target_index % upstreams_.size()];
  ++fault_count_;
  PrintFault(fault);
  switch (fault.kind) {
    case FaultKind::kStoreReset:
      return InjectStoreFault(RowFault::kReset, fault.duration);
    case FaultKind::kStoreRefuse:
      return InjectStoreFault(RowFault::kRefuse, fault.duration);
    case FaultKind::kStoreSlow:
      return InjectStoreFault(RowFault::kSlow, fault.duration);
    case FaultKind::kStoreLosesAnswers:
      return InjectStoreFault(RowFault::kLoseAnswer, fault.duration);
    case FaultKind::kStoreSilent:
      return InjectStoreFault(RowFault::kSilent, fault.duration);
    case FaultKind::kStoreForgets:
      store_.store().DropHistory();
      return InjectStoreFault(RowFault::kNone, Duration(0));
    case FaultKind::kRowsLapse:
      return ExpireEndpointRows(fault.duration);
    case FaultKind::kStoreLinkSilent:
      return InjectStoreLinkFault(gateway, LinkFault::kSilent, fault.duration);
    case FaultKind::kStoreLinkReset:
      return InjectStoreLinkFault(gateway, LinkFault::kReset, fault.duration);
    case FaultKind::kEndpointDelay:
      return InjectEndpointLinkFault(upstream, LinkFault::kDelay, fault.duration);
    case FaultKind::kEndpointReset:
      return InjectEndpointLinkFault(upstream, LinkFault::kReset, fault.duration);
    case FaultKind::kEndpointSilent:
      return SilenceEndpointConnections(upstream);
    case FaultKind::kEndpointOneWay:
      return InjectEndpointLinkFault(upstream, LinkFault::kOneWay, fault.duration);
    case FaultKind::kEndpointCrash:
      return CrashEndpoint(upstream, fault.duration);
    case FaultKind::kEndpointLeaves:
      return DrainEndpoint(upstream);
    case FaultKind::kZoneOut:
      return TakeZoneOut(kZones[fault.target_index % kZoneCount],
                         fault.duration + GuaranteeChecker::kMaxZoneOutDelay);
    case FaultKind::kConfiguration:
      return WriteNextConfiguration();
    case FaultKind::kStoreRestored:
      return RestoreStore(fault.duration);
    case FaultKind::kEndpointLimit:
      return LimitEndpoint(upstream, fault.target_index, fault.duration);
    case FaultKind::kEndpointSaysLeaving:
      return SayLeaving(upstream);
    case FaultKind::kEndpointWantsNothing:
      return WantNothing(upstream, fault.duration);
    case FaultKind::kOddRow:
      return WriteOddRow(fault.target_index, fault.duration);
    default:
      return InjectGatewayFault(fault);
  }
}

void Soak::InjectGatewayFault(const Fault& fault) {
  Gateway* gateway = &gateways_[fault.target_index % gateways_.size()];
  switch (fault.kind) {
    case FaultKind::kGatewayTerminated:
      return TerminateGateway(gateway);
    case FaultKind::kGatewayKilled:
      return KillGateway(gateway, fault.duration);
    case FaultKind::kGatewayPaused:
      return PauseGateway(gateway, fault.duration);
    case FaultKind::kGatewayHangUp:
      return SendHangUpSignal(*gateway);
    case FaultKind::kAllKilled:
      for (Gateway& each : gateways_) {
        KillGateway(&each, fault.duration);
      }
      return;
    case FaultKind::kPortBusy:
      return HoldPort(gateway, fault.duration);
    default:
      return;
  }
}

void Soak::InjectStoreFault(RowFault kind, Duration duration) {
  ++active_store_faults_;
  checker_.SetStoreFaulty(now_, true);
  store_.SetFault(kind, kStoreDelay);
  RunAfter(duration, [this] {
    if (--active_store_faults_ == 0) {
      store_.SetFault(RowFault::kNone, Duration(0));
      checker_.SetStoreFaulty(now_, false);
    }
  });
}

void Soak::ExpireEndpointRows(Duration duration) {
  const Duration unavailable_time = duration + kRowLifetime;
  InjectStoreFault(RowFault::kReset, unavailable_time);
  if (std::exchange(rows_expired_, true)) {
    return;
  }
  for (const Upstream& upstream : upstreams_) {
    store_.store().Put("servers", upstream.server->instance(), std::nullopt);
  }
  RunAfter(unavailable_time + kRowRenewalInterval, [this] {
    rows_expired_ = false;
    for (Upstream& upstream : upstreams_) {
      WriteEndpointRow(&upstream);
    }
  });
}

void Soak::RestoreStore(Duration outage) {
  RunAfter(outage, [this] {
    store_.store().Restore(std::min(copy_version_, store_.store().version()));
    copy_version_ = next_copy_version_ = store_.store().version();
    WriteRow("op", "config", MakeSoakConfiguration(configuration_version_));
    for (const auto& [zone, count] : zones_out_) {
      if (count > 0) {
        WriteRow("op", "evacuate/" + zone, "{}");
      } else {
        store_.store().Put("op", "evacuate/" + zone, std::nullopt);
      }
    }
    for (Upstream& upstream : upstreams_) {
      WriteEndpointRow(&upstream);
    }
  });
  RunAfter(outage + kRowLifetime, [this] { RemoveStaleEndpointRows(); });
  InjectStoreFault(RowFault::kSilent, outage);
}

void Soak::RemoveStaleEndpointRows() {
  std::set<std::string> instances;
  for (const Upstream& upstream : upstreams_) {
    instances.insert(upstream.server->instance());
  }
  for (const std::string& key : store_.store().Keys("servers")) {
    if (!instances.contains(key)) {
      store_.store().Put("servers", key, std::nullopt);
    }
  }
}

void Soak::LimitEndpoint(Upstream* upstream, uint64_t pick, Duration duration) {
  const std::string endpoint = upstream->server->instance();
  const double limit = kLimits.at(pick / upstreams_.size() % kLimits.size());
  upstream->server->SetLimit(limit);
  checker_.OnLimitNamed(now_, endpoint, limit);
  RunAfter(duration, [this, upstream, endpoint] {
    checker_.OnLimitNamed(now_, endpoint, std::nullopt);
    if (upstream->server->instance() == endpoint) {
      upstream->server->SetLimit(std::nullopt);
    }
  });
}

void Soak::CheckGatewaysListed() {
  for (const Gateway& gateway : gateways_) {
    const std::string& name = gateway.process->config().name;
    if (!store_.store().Contains("gateways", name)) {
      checker_.ReportViolation(name + " is not in the store's list of gateways");
    }
  }
}

void Soak::MarkGatewayFaulty(Gateway* gateway,
                             bool interrupts_requests,
                             Duration duration,
                             const Action& undo) {
  const std::string name = gateway->process->config().name;
  ++gateway->active_faults;
  checker_.OnGatewayFaulty(now_, name, interrupts_requests);
  RunAfter(duration, [this, gateway, name, undo] {
    undo();
    if (--gateway->active_faults == 0) {
      checker_.OnGatewayFaultsEnded(now_, name);
    }
  });
}

void Soak::InjectStoreLinkFault(Gateway* gateway, LinkFault fault, Duration duration) {
  gateway->store_link->SetFault(fault);
  MarkGatewayFaulty(gateway, false, duration,
                    [gateway] { gateway->store_link->SetFault(LinkFault::kNone); });
}

void Soak::InjectEndpointLinkFault(Upstream* upstream, LinkFault fault, Duration duration) {
  ++upstream->active_faults;
  checker_.OnEndpointLinkFault(upstream->server->instance(), now_ + duration);
  upstream->server->proxy().SetFault(fault, kEndpointDelay);
  RunAfter(duration, [upstream] {
    if (--upstream->active_faults == 0) {
      upstream->server->proxy().SetFault(LinkFault::kNone);
    }
  });
}

void Soak::SilenceEndpointConnections(Upstream* upstream) {
  checker_.OnEndpointLinkFault(upstream->server->instance(), now_);
  upstream->server->proxy().SilenceOpenConnections();
}

void Soak::CrashEndpoint(Upstream* upstream, Duration duration) {
  if (!upstream->server->running()) {
    return;
  }
  const std::string instance = upstream->server->instance();
  upstream->row_renewed = false;
  upstream->server->Crash();
  RunAfter(duration, [this, upstream] { StartUpstream(upstream); });
  RunAfter(kRowLifetime, [this, instance] {
    store_.store().Put("servers", instance, std::nullopt);
    checker_.OnEndpointLeaving(now_, instance);
  });
}

void Soak::DrainEndpoint(Upstream* upstream) {
  if (!upstream->server->running() || upstream->leaving) {
    return;
  }
  upstream->leaving = true;
  upstream->server->Drain();
  WriteEndpointRow(upstream);
  const std::string instance = upstream->server->instance();
  checker_.OnEndpointLeaving(now_, instance);
  RunAfter(kLeavingServiceTime, [this, upstream, instance] {
    if (upstream->server->running() && upstream->server->instance() == instance) {
      CrashEndpoint(upstream, kRestartDelay);
    }
  });
}

void Soak::TakeZoneOut(const std::string& zone, Duration duration) {
  if (zones_out_[zone]++ == 0) {
    WriteRow("op", "evacuate/" + zone, "{}");
    checker_.OnZoneChanged(now_, zone, true);
  }
  RunAfter(duration, [this, zone] {
    if (--zones_out_[zone] == 0) {
      store_.store().Put("op", "evacuate/" + zone, std::nullopt);
      checker_.OnZoneChanged(now_, zone, false);
    }
  });
}

void Soak::WriteNextConfiguration() {
  ++configuration_version_;
  WriteRow("op", "config", MakeSoakConfiguration(configuration_version_));
  checker_.OnConfigurationAccepted(now_, configuration_version_);
  callers_.SetConfigurationVersion(configuration_version_);
}

void Soak::TerminateGateway(Gateway* gateway) {
  if (!gateway->process->process().Running()) {
    return;
  }
  gateway->end_expected = true;
  gateway->process->process().Signal(SIGTERM);
  MarkGatewayFaulty(gateway, false, kTerminationGracePeriod + kRestartDelay, [] {});
}

void Soak::SendHangUpSignal(const Gateway& gateway) {
  // A process that has not reached its main function cannot handle SIGHUP and would be ended by it.
  if (now_ >= gateway.restarted_at + kProgramLoadTime) {
    gateway.process->process().Signal(SIGHUP);
  }
}

void Soak::KillGateway(Gateway* gateway, Duration duration) {
  gateway->end_expected = true;
  gateway->restart_at = now_ + duration;
  gateway->process->process().Signal(SIGKILL);
  MarkGatewayFaulty(gateway, true, duration + kRestartDelay, [] {});
}

void Soak::HoldPort(Gateway* gateway, Duration duration) {
  if (gateway->port_holder != nullptr) {
    return;
  }
  KillGateway(gateway, kRestartDelay);
  const uint16_t port = gateway->process->config().status_port;
  RunAfter(kRestartDelay / 2, [this, gateway, port] {
    if (gateway->process->process().Running() || gateway->port_holder != nullptr) {
      return;
    }
    gateway->port_holder = std::make_unique<StandinHttp>(base_, port, [](evhttp_request* request) {
      evhttp_send_error(request, HTTP_SERVUNAVAIL, nullptr);
    });
  });
  MarkGatewayFaulty(gateway, true, kRestartDelay + duration,
                    [gateway] { gateway->port_holder.reset(); });
}

void Soak::WriteOddRow(uint64_t pick, Duration duration) {
  const std::string key = "odd-" + std::to_string(pick);
  WriteRow("servers", key, MakeOddRow(pick));
  RunAfter(duration, [this, key] { store_.store().Put("servers", key, std::nullopt); });
}

void Soak::PauseGateway(Gateway* gateway, Duration duration) {
  gateway->process->process().Signal(SIGSTOP);
  MarkGatewayFaulty(gateway, false, duration,
                    [gateway] { gateway->process->process().Signal(SIGCONT); });
}

}  // namespace jd
