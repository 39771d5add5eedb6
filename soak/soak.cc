#include "soak/soak.h"

#include <csignal>
#include <cstdio>
#include <utility>

#include "platform/store_rows.h"
#include "soak/soak_site.h"

namespace jd {
namespace {

constexpr const char* kZones[] = {"north", "middle", "south"};
constexpr uint64_t kZoneCount = 3;
constexpr int kCallersOfGateway = 4;
constexpr Duration kTick = 5ms;
constexpr Duration kBeat = 1500ms;
// Three renewal intervals.
constexpr Duration kRowLifetime = 4500ms;
// Time for the gateways to start before their callers do.
constexpr Duration kWarmUp = 3s;
// Callers keep sending for this time after the recovery time, to show whether requests are served.
constexpr Duration kLastPart = 3s;
// Time after the last request for outstanding answers to arrive.
constexpr Duration kEnd = 2s;
// Time between SIGTERM and the moment when the platform would kill the process.
constexpr Duration kGrace = 6s;
constexpr Duration kRestart = 300ms;
// Time in which a new process is loaded and reaches its main function.
constexpr Duration kLoad = 200ms;
constexpr Duration kEndpointDelay = 150ms;
constexpr Duration kStoreDelay = 400ms;
// A leaving server keeps serving for this time after its row in the store says that it leaves.
constexpr Duration kServesOn = 3s;

}  // namespace

Soak::Soak(event_base* base, SoakSettings settings)
    : base_(base),
      settings_(std::move(settings)),
      store_(base),
      store_port_(FreePort()),
      callers_(base, settings_.seed, &promises_),
      timer_(base, [this] { Advance(); }) {
  now_ = ReadStandinClocks().mono;
  store_http_ = std::make_unique<StandinHttp>(
      base, store_port_, [this](evhttp_request* request) { store_.Serve(request); });
  upstreams_.reserve(static_cast<size_t>(settings_.endpoints));
  for (int i = 0; i < settings_.endpoints; ++i) {
    AddUpstream(static_cast<uint64_t>(i));
  }
  Configure();
  gateways_.reserve(static_cast<size_t>(settings_.gateways));
  for (int i = 0; i < settings_.gateways; ++i) {
    AddGateway(static_cast<uint64_t>(i));
  }
}

const std::vector<std::string>& Soak::Run() {
  const Duration faults_end = kWarmUp + settings_.length;
  for (const Fault& fault : PlanFaults(settings_.seed, settings_.length)) {
    After(kWarmUp + fault.at, [this, fault] { Apply(fault); });
  }
  After(kWarmUp, [this] {
    for (const Gateway& gateway : gateways_) {
      const GatewayPlace& place = gateway.process->place();
      for (int i = 0; i < kCallersOfGateway; ++i) {
        callers_.Add(place.name, place.callers_port);
      }
    }
  });
  // Allows for faults that are still active at the end of the phase with faults.
  const Duration calm = faults_end + 8s;
  After(calm, [this] { promises_.OnAllCalm(now_); });
  const Duration last = calm + Promises::kRecovery + kLastPart;
  After(last, [this] { callers_.Stop(); });
  After(last + kEnd, [this] { event_base_loopbreak(base_); });
  Beat();
  timer_.Arm(kTick);
  event_base_dispatch(base_);
  promises_.Finish(now_);
  return promises_.violations();
}

void Soak::AddUpstream(uint64_t index) {
  Upstream& upstream = upstreams_.emplace_back();
  upstream.zone = kZones[index % kZoneCount];
  upstream.server =
      std::make_unique<SoakUpstream>(base_, FreePort(), settings_.seed + index,
                                     [this, index](const std::string& request, bool runs) {
                                       const Upstream& at = upstreams_[index];
                                       promises_.OnArrival(ReadStandinClocks().mono, request,
                                                           at.server->instance(), at.zone, runs);
                                     });
  StartUpstream(&upstream);
}

void Soak::AddGateway(uint64_t index) {
  Gateway& gateway = gateways_.emplace_back();
  gateway.store_link = std::make_unique<TcpProxy>(base_, store_port_);
  GatewayPlace place;
  place.name = "gateway-" + std::to_string(index + 1);
  place.zone = kZones[index % kZoneCount];
  place.callers_port = FreePort();
  place.status_port = FreePort();
  place.peer_port = FreePort();
  place.store_port = gateway.store_link->port();
  gateway.process =
      std::make_unique<GatewayProcess>(settings_.program, settings_.directory, std::move(place));
  gateway.process->Start();
}

void Soak::StartUpstream(Upstream* upstream) {
  const auto index = static_cast<size_t>(upstream - upstreams_.data());
  upstream->server->Start("e" + std::to_string(index + 1) + "-" + std::to_string(++upstream->runs));
  upstream->leaving = false;
  upstream->listed = true;
  WriteEndpoint(upstream);
}

void Soak::Write(const std::string& table, const std::string& key, const std::string& value) {
  RowQuery query;
  query.path = "/api/rows-tx";
  query.body = BuildWriteRequest(table, key, value).body;
  store_.store().Handle(now_, query, Duration(0));
}

void Soak::WriteEndpoint(Upstream* upstream) {
  if (upstream->listed && !rows_lapse_) {
    Write("servers", upstream->server->instance(),
          SoakEndpointRow(upstream->zone, upstream->server->proxy().port(), upstream->leaving,
                          ++beat_));
  }
}

void Soak::Beat() {
  for (Upstream& upstream : upstreams_) {
    if (upstream.server->running()) {
      WriteEndpoint(&upstream);
    }
  }
  After(kBeat, [this] { Beat(); });
}

void Soak::Advance() {
  now_ = ReadStandinClocks().mono;
  while (!actions_.empty() && actions_.begin()->first <= now_) {
    const Action action = std::move(actions_.begin()->second);
    actions_.erase(actions_.begin());
    action();
  }
  WatchProcesses();
  timer_.Arm(kTick);
}

void Soak::WatchProcesses() {
  for (Gateway& gateway : gateways_) {
    if (gateway.restart > now_ || gateway.process->process().Running()) {
      continue;
    }
    if (gateway.restart == MonoTime()) {
      if (!gateway.may_end) {
        promises_.Report(gateway.process->place().name + " ended unexpectedly with wait status " +
                         std::to_string(gateway.process->process().exit_status()));
      }
      gateway.restart = now_ + kRestart;
      continue;
    }
    gateway.restart = MonoTime();
    gateway.may_end = false;
    gateway.started = now_;
    gateway.process->Start();
  }
}

void Soak::After(Duration delay, Action action) {
  actions_.emplace(ReadStandinClocks().mono + delay, std::move(action));
}

void Soak::Apply(const Fault& fault) {
  Gateway* gateway = &gateways_[fault.pick % gateways_.size()];
  Upstream* upstream = &upstreams_[fault.pick % upstreams_.size()];
  ++faults_;
  std::printf("%8.3f fault %s pick=%llu length_ms=%lld\n",
              std::chrono::duration<double>(now_.time_since_epoch()).count(), NameOf(fault.kind),
              static_cast<unsigned long long>(fault.pick),
              static_cast<long long>(fault.length.count() / 1000));
  switch (fault.kind) {
    case FaultKind::kStoreReset:
      return DisturbStore(RowFault::kReset, fault.length);
    case FaultKind::kStoreRefuse:
      return DisturbStore(RowFault::kRefuse, fault.length);
    case FaultKind::kStoreSlow:
      return DisturbStore(RowFault::kSlow, fault.length);
    case FaultKind::kStoreLosesAnswers:
      return DisturbStore(RowFault::kLoseAnswer, fault.length);
    case FaultKind::kStoreSilent:
      return DisturbStore(RowFault::kSilent, fault.length);
    case FaultKind::kStoreForgets:
      store_.store().Forget();
      return DisturbStore(RowFault::kNone, Duration(0));
    case FaultKind::kRowsLapse:
      return LapseRows(fault.length);
    case FaultKind::kStoreLinkSilent:
      return CutStoreLink(gateway, LinkFault::kSilent, fault.length);
    case FaultKind::kStoreLinkReset:
      return CutStoreLink(gateway, LinkFault::kReset, fault.length);
    case FaultKind::kEndpointDelay:
      return DisturbEndpoint(upstream, LinkFault::kDelay, fault.length);
    case FaultKind::kEndpointReset:
      return DisturbEndpoint(upstream, LinkFault::kReset, fault.length);
    case FaultKind::kEndpointSilent:
      return SilenceEndpoint(upstream);
    case FaultKind::kEndpointOneWay:
      return DisturbEndpoint(upstream, LinkFault::kOneWay, fault.length);
    case FaultKind::kEndpointCrash:
      return Crash(upstream, fault.length);
    case FaultKind::kEndpointLeaves:
      return Leave(upstream);
    case FaultKind::kZoneOut:
      return TakeZoneOut(kZones[fault.pick % kZoneCount], fault.length + Promises::kZoneOutBound);
    case FaultKind::kConfiguration:
      return Configure();
    case FaultKind::kGatewayTerminated:
      return Terminate(gateway);
    case FaultKind::kGatewayKilled:
      return Kill(gateway, fault.length);
    case FaultKind::kGatewayPaused:
      return Pause(gateway, fault.length);
    case FaultKind::kGatewayHangUp:
      return HangUp(*gateway);
    case FaultKind::kAllKilled:
      for (Gateway& each : gateways_) {
        Kill(&each, fault.length);
      }
      return;
  }
}

void Soak::DisturbStore(RowFault kind, Duration length) {
  ++store_disturbances_;
  promises_.OnStoreDisturbed(now_, true);
  store_.SetFault(kind, kStoreDelay);
  After(length, [this] {
    if (--store_disturbances_ == 0) {
      store_.SetFault(RowFault::kNone, Duration(0));
      promises_.OnStoreDisturbed(now_, false);
    }
  });
}

void Soak::LapseRows(Duration length) {
  const Duration away = length + kRowLifetime;
  DisturbStore(RowFault::kReset, away);
  if (std::exchange(rows_lapse_, true)) {
    return;
  }
  for (const Upstream& upstream : upstreams_) {
    store_.store().Put("servers", upstream.server->instance(), std::nullopt);
  }
  After(away + kBeat, [this] {
    rows_lapse_ = false;
    for (Upstream& upstream : upstreams_) {
      WriteEndpoint(&upstream);
    }
  });
}

void Soak::DisturbGateway(Gateway* gateway, bool cuts, Duration length, const Action& undo) {
  const std::string name = gateway->process->place().name;
  ++gateway->disturbances;
  promises_.OnGatewayDisturbed(now_, name, cuts);
  After(length, [this, gateway, name, undo] {
    undo();
    if (--gateway->disturbances == 0) {
      promises_.OnGatewayCalm(now_, name);
    }
  });
}

void Soak::CutStoreLink(Gateway* gateway, LinkFault fault, Duration length) {
  gateway->store_link->SetFault(fault);
  DisturbGateway(gateway, false, length,
                 [gateway] { gateway->store_link->SetFault(LinkFault::kNone); });
}

void Soak::DisturbEndpoint(Upstream* upstream, LinkFault fault, Duration length) {
  ++upstream->disturbances;
  promises_.OnLinkHarmed(upstream->server->instance(), now_ + length);
  upstream->server->proxy().SetFault(fault, kEndpointDelay);
  After(length, [upstream] {
    if (--upstream->disturbances == 0) {
      upstream->server->proxy().SetFault(LinkFault::kNone);
    }
  });
}

void Soak::SilenceEndpoint(Upstream* upstream) {
  promises_.OnLinkHarmed(upstream->server->instance(), now_);
  upstream->server->proxy().SilenceOpenConnections();
}

void Soak::Crash(Upstream* upstream, Duration length) {
  if (!upstream->server->running()) {
    return;
  }
  const std::string instance = upstream->server->instance();
  upstream->listed = false;
  upstream->server->Crash();
  After(length, [this, upstream] { StartUpstream(upstream); });
  After(kRowLifetime, [this, instance] {
    store_.store().Put("servers", instance, std::nullopt);
    promises_.OnLeaving(now_, instance);
  });
}

void Soak::Leave(Upstream* upstream) {
  if (!upstream->server->running() || upstream->leaving) {
    return;
  }
  upstream->leaving = true;
  upstream->server->Drain();
  WriteEndpoint(upstream);
  const std::string instance = upstream->server->instance();
  promises_.OnLeaving(now_, instance);
  After(kServesOn, [this, upstream, instance] {
    if (upstream->server->running() && upstream->server->instance() == instance) {
      Crash(upstream, kRestart);
    }
  });
}

void Soak::TakeZoneOut(const std::string& zone, Duration length) {
  if (zones_out_[zone]++ == 0) {
    Write("op", "evacuate/" + zone, "{}");
    promises_.OnZone(now_, zone, true);
  }
  After(length, [this, zone] {
    if (--zones_out_[zone] == 0) {
      store_.store().Put("op", "evacuate/" + zone, std::nullopt);
      promises_.OnZone(now_, zone, false);
    }
  });
}

void Soak::Configure() {
  ++version_;
  Write("op", "config", SoakConfiguration(version_));
  promises_.OnConfiguration(now_, version_);
  callers_.SetVersion(version_);
}

void Soak::Terminate(Gateway* gateway) {
  if (!gateway->process->process().Running()) {
    return;
  }
  gateway->may_end = true;
  gateway->process->process().Signal(SIGTERM);
  DisturbGateway(gateway, false, kGrace + kRestart, [] {});
}

void Soak::HangUp(const Gateway& gateway) {
  // A process that has not reached its main function cannot handle SIGHUP and would be ended by it.
  if (now_ >= gateway.started + kLoad) {
    gateway.process->process().Signal(SIGHUP);
  }
}

void Soak::Kill(Gateway* gateway, Duration length) {
  gateway->may_end = true;
  gateway->restart = now_ + length;
  gateway->process->process().Signal(SIGKILL);
  DisturbGateway(gateway, true, length + kRestart, [] {});
}

void Soak::Pause(Gateway* gateway, Duration length) {
  gateway->process->process().Signal(SIGSTOP);
  DisturbGateway(gateway, false, length,
                 [gateway] { gateway->process->process().Signal(SIGCONT); });
}

}  // namespace jd
