#include "gateway/gateway.h"

#include <event2/buffer.h>
#include <algorithm>

#include <cassert>

#include "gateway/header_rules.h"
#include "gateway/log.h"
#include "gateway/stop_plan.h"
#include "policy/call_profile.h"

namespace jd {
namespace {

// The VM list is out of date by more than this timeout anyway, and the next request replaces an
// answer that takes longer.
constexpr Duration kVmListTimeout = 2s;

constexpr double kBytesPerMegabyte = 1 << 20;
// The share of the memory for incomplete responses of upstreams. The buffer of a response that
// grows takes up to three times its bytes for a moment.
constexpr double kResponseMemoryShare = 0.125;

// Heartbeat interval between gateways that do not lend each other slots.
constexpr Duration kHeartbeatWithoutLending = 1s;

// Returns the configured seed, or a random one if the settings have seed 0.
uint64_t SeedOf(const Settings& settings) {
  return settings.random_seed != 0 ? static_cast<uint64_t>(settings.random_seed)
                                   : std::random_device()();
}

NodeSettings ToNodeSettings(const Settings& settings, uint16_t peer_port, const EventLoop& loop) {
  NodeSettings node;
  node.id = settings.id;
  node.zone = settings.zone;
  node.incarnation = Incarnation(static_cast<uint64_t>(Micros(loop.ReadClocks().wall)));
  node.address = settings.peers.address;
  node.peer_port = peer_port;
  node.seeds = settings.seeds;
  node.policy = settings.policy;
  node.has_platform = !settings.platform.address.empty() && !settings.uses_discovery;
  if (settings.retry_share > 0) {
    node.retry_limits = RetryBudget::SharedLimits(settings.retry_share, settings.retry_window);
  }
  node.probe_rate = settings.probe_rate;
  node.rollout_bounds = settings.rollout_bounds;
  if (settings.policy == FreshLoad::kName) {
    // The fresh_load policy lends no slots, so peers only exchange what they have read.
    node.heartbeat = kHeartbeatWithoutLending;
    node.peers_in_local_zone_only = true;
  }
  // With discovery from the platform's store, taking a zone out of service concerns only the
  // upstreams of the zone, so the gateway stays ready.
  node.unready_when_zone_out = !settings.uses_discovery;
  node.gateways_listed_by_discovery = settings.uses_discovery;
  node.event_capacity = static_cast<size_t>(settings.event_capacity);
  node.seed = SeedOf(settings);
  return node;
}

HttpHeaders UpstreamHeaders(const HttpRequest& request, const HttpDialect& dialect) {
  HttpHeaders headers = EndToEndHeaders(request.headers);
  std::erase_if(headers,
                [&](const auto& header) { return dialect.ReplacesRequestHeader(header.first); });
  return headers;
}

StoredResponse ToStoredResponse(const HttpResponse& response) {
  StoredResponse stored;
  stored.status = response.status;
  stored.content_type = HeaderValue(response.headers, "content-type");
  stored.body.resize(evbuffer_get_length(response.body.get()));
  evbuffer_copyout(response.body.get(), stored.body.data(), stored.body.size());
  return stored;
}

}  // namespace

Gateway::Gateway(EventLoop* loop,
                 const Settings& settings,
                 uint16_t peer_port,
                 const HttpDialect* dialect)
    : loop_(loop),
      settings_(settings),
      dialect_(dialect),
      node_(ToNodeSettings(settings, peer_port, *loop)),
      callers_(loop, settings, SeedOf(settings), dialect),
      upstreams_(
          loop,
          {settings.limits.header_bytes, settings.limits.response_bytes},
          static_cast<size_t>(settings.limits.memory_mb * kBytesPerMegabyte * kResponseMemoryShare),
          dialect),
      status_(
          loop,
          settings.status,
          dialect->ready_path(),
          [this] { return ready(); },
          [this] { return metrics_.Serialize(gauge_values()); }),
      node_timer_(loop,
                  [this] {
                    node_timer_due_.reset();
                    NotifyNode([this](Now now, NodeActions* out) { node_.OnTimer(now, out); });
                  }),
      grace_timer_(loop, [this] { BeginRefusing(); }),
      iteration_end_timer_(loop, [this] {
        NodeActions actions;
        node_.OnLoopIterationEnd(loop_->ReadClocks(), &actions);
        iteration_end_scheduled_ = false;
        ExecuteActions(&actions);
      }) {
  if (!settings.platform.address.empty() && !settings.uses_discovery) {
    platform_ =
        std::make_unique<PlatformClient>(loop, settings.platform.address, settings.platform.port);
  }
  callers_.SetIdempotenceRule([this](const CallRequest& request) {
    return configuration_ != nullptr && IsIdempotent(*configuration_, request);
  });
  callers_.rejected().connect([this](int) { metrics_.CountCall(CallOutcome::kRejected); });
  callers_.call_arrived().connect(sigc::mem_fun(*this, &Gateway::OnCall));
  callers_.caller_gone().connect(sigc::mem_fun(*this, &Gateway::OnCallerGone));
  callers_.became_idle().connect(sigc::mem_fun(*this, &Gateway::FinishIfDrained));
  callers_.closed().connect([this] {
    LogInfo(LogPart::kGateway, "Drained.");
    stopped_.emit();
  });
  upstreams_.attempt_ended().connect(sigc::mem_fun(*this, &Gateway::OnAttemptEnded));
  upstreams_.probe_ended().connect([this](const ProbeResult& result) {
    metrics_.CountProbe(result.answered);
    NotifyNode([&](Now now, NodeActions* out) { node_.OnProbeResult(now, result, out); });
  });
}

void Gateway::Start() {
  LogInfo(LogPart::kGateway, "Gateway " + settings_.id.value + " in zone " + settings_.zone.value +
                                 " serves callers on port " + std::to_string(callers_.port()) +
                                 ", status on port " + std::to_string(status_.port()) + ".");
  NotifyNode([this](Now now, NodeActions* out) { node_.Start(now, settings_.configuration, out); });
}

void Gateway::Stop() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  LogInfo(LogPart::kGateway,
          "Stopping: reported as not ready, still serving calls for the grace period.");
  callers_.AnnounceClose();
  const StopPlan plan = PlanStop(settings_.grace_period, settings_.stop_limit);
  if (plan.last_answer) {
    node_.LimitDeadlines(loop_->ReadClocks().mono + *plan.last_answer);
    ScheduleNodeTimer();
  }
  grace_timer_.Schedule(plan.admission);
}

void Gateway::BeginRefusing() {
  LogInfo(LogPart::kGateway, "Grace period over: refusing new calls, " +
                                 std::to_string(calls_.size()) + " calls in flight.");
  refusing_ = true;
  callers_.CloseIdleConnections();
  NotifyNode([this](Now now, NodeActions* out) { node_.OnStop(now, out); });
}

void Gateway::FinishIfDrained() {
  if (refusing_ && !executing_ && node_.drained() && callers_.idle()) {
    refusing_ = false;
    callers_.Close();
  }
}

void Gateway::ExecuteActions(NodeActions* actions) {
  pending_actions_.insert(pending_actions_.end(), std::make_move_iterator(actions->begin()),
                          std::make_move_iterator(actions->end()));
  // Executing an action may cause another event, and so a nested call of this function. Only the
  // outermost call executes actions, so that actions are executed in the order of the decisions.
  if (executing_) {
    return;
  }
  executing_ = true;
  while (true) {
    if (node_.configuration() != configuration_) {
      ApplyConfiguration();
    }
    if (pending_actions_.empty()) {
      break;
    }
    const NodeAction action = std::move(pending_actions_.front());
    pending_actions_.pop_front();
    std::visit([this](const auto& value) { ExecuteAction(value); }, action);
  }
  executing_ = false;
  ScheduleNodeTimer();
  FinishIfDrained();
}

void Gateway::ApplyConfiguration() {
  const ConfigVersion previous =
      configuration_ == nullptr ? ConfigVersion() : configuration_->version;
  configuration_ = node_.configuration();
  upstreams_.SetConfiguration(configuration_);
  if (configuration_ == nullptr || configuration_->version == previous) {
    return;
  }
  std::set<WorkspaceId> workspaces;
  for (const auto& [id, share] : configuration_->workspaces) {
    workspaces.insert(id);
  }
  metrics_.SetWorkspaces(std::move(workspaces));
  if (configuration_->caller_limits) {
    callers_.SetLimits(*configuration_->caller_limits);
  }
  LogInfo(LogPart::kConfig,
          "Configuration version " + std::to_string(configuration_->version.value) + " is in use.");
}

void Gateway::OnDiscovery(const DiscoveryUpdate& update) {
  NotifyNode([&](Now now, NodeActions* out) { node_.OnDiscovery(now, update, out); });
}

void Gateway::OnRolloutWriteResult(const RolloutWriteResult& result) {
  NotifyNode([&](Now now, NodeActions* out) { node_.OnRolloutWriteResult(now, result, out); });
}

void Gateway::OnTableRead(const TableUpdate& update) {
  NotifyNode([&](Now now, NodeActions* out) { node_.OnTableRead(now, update, out); });
}

void Gateway::RequestTables(const std::optional<GatewayId>& peer, const TableFetch& fetch) {
  NotifyNode([&](Now now, NodeActions* out) { node_.RequestTables(now, peer, fetch, out); });
}

void Gateway::SendTable(const GatewayId& peer, const TableUpdate& update) {
  NotifyNode([&](Now now, NodeActions* out) { node_.SendTable(now, peer, update, out); });
}

void Gateway::ScheduleIterationEnd() {
  if (!iteration_end_scheduled_) {
    iteration_end_scheduled_ = true;
    iteration_end_timer_.ScheduleNow();
  }
}

void Gateway::ScheduleNodeTimer() {
  const std::optional<MonoTime> next = node_.next_timer();
  // The timer is only rescheduled to an earlier time. A timer that fires too early costs one check;
  // rescheduling it for each call would cost more.
  if (next && (!node_timer_due_ || *next < *node_timer_due_)) {
    node_timer_due_ = next;
    node_timer_.Schedule(*next - loop_->ReadClocks().mono);
  }
}

std::string Gateway::RequestKey(const CallRequest& request) const {
  // Routes name no request key, so a call is not looked up in the route table for it.
  if (configuration_ == nullptr || configuration_->routes != nullptr) {
    return {};
  }
  const Profile* profile = FindProfile(*configuration_, request);
  if (profile == nullptr || profile->request_key_header.empty()) {
    return {};
  }
  return HeaderValue(callers_.request(request.id).headers, profile->request_key_header);
}

void Gateway::OnCall(const CallRequest& arrived) {
  CallRequest request = arrived;
  request.request_key = RequestKey(arrived);
  const HttpRequest& http = callers_.request(request.id);
  Call call;
  call.request_id = request.request_id;
  call.workspace = request.workspace;
  call.arrived = loop_->ReadClocks().mono;
  call.upstream_request.method = http.method;
  call.upstream_request.target = request.path;
  call.upstream_request.request_id = request.request_id;
  call.upstream_request.headers = UpstreamHeaders(http, *dialect_);
  call.upstream_request.body = http.body.get();
  calls_.emplace(request.id, std::move(call));
  NotifyNode([&](Now now, NodeActions* out) { node_.OnCall(now, request, out); });
}

void Gateway::OnCallerGone(CallId call) {
  EndCall(call, CallOutcome::kCallerGone);
  NotifyNode([call, this](Now now, NodeActions* out) { node_.OnCallerGone(now, call, out); });
}

void Gateway::OnAttemptEnded(const AttemptResult& result, HttpResponsePtr& response) {
  metrics_.CountAttempt(result);
  const auto attempt = attempts_.extract(result.attempt);
  const auto call = attempt.empty() ? calls_.end() : calls_.find(attempt.mapped());
  if (call != calls_.end()) {
    if (--call->second.running_attempts == 0) {
      call->second.upstream_time += loop_->ReadClocks().mono - call->second.running_since;
    }
    if (response != nullptr) {
      call->second.responses.emplace_back(result.attempt, std::move(response));
    }
  }
  NotifyNode([&](Now now, NodeActions* out) { node_.OnAttemptResult(now, result, out); });
}

void Gateway::OnPeerMessage(const PeerMessage& message) {
  NotifyNode([&](Now now, NodeActions* out) { node_.OnPeerMessage(now, message, out); });
}

void Gateway::OnOperatorRequest(const OperatorRequest& request) {
  NotifyNode([&](Now now, NodeActions* out) { node_.OnOperatorRequest(now, request, out); });
}

std::optional<Gateway::Call> Gateway::EndCall(CallId id, CallOutcome outcome) {
  auto call = calls_.extract(id);
  if (call.empty()) {
    return std::nullopt;
  }
  metrics_.CountCall(outcome);
  return std::move(call.mapped());
}

GaugeValues Gateway::gauge_values() const {
  GaugeValues values;
  values.calls_in_flight = calls_.size();
  values.calls_waiting =
      static_cast<size_t>(std::count_if(calls_.begin(), calls_.end(), [](const auto& call) {
        return call.second.running_attempts == 0;
      }));
  values.caller_connections = callers_.connections();
  values.caller_memory_bytes = callers_.memory_bytes();
  values.upstream_connections = upstreams_.connections();
  values.upstream_connections_passed_over = upstreams_.connections_passed_over();
  values.config_version = configuration_ == nullptr ? 0 : configuration_->version.value;
  values.ready = ready();
  values.permits = node_.permit_counts();
  values.quotas = node_.quota_counts();
  values.holds = node_.hold_counts();
  if (peer_traffic_source_) {
    values.peer_traffic = peer_traffic_source_();
  }
  return values;
}

void Gateway::ExecuteAction(const SendAttempt& action) {
  const auto call = calls_.find(action.call);
  if (call == calls_.end()) {
    AttemptResult result;
    result.attempt = action.attempt;
    result.outcome = AttemptOutcome::kCancelled;
    NotifyNode([&](Now now, NodeActions* out) { node_.OnAttemptResult(now, result, out); });
    return;
  }
  attempts_.emplace(action.attempt, action.call);
  if (call->second.running_attempts++ == 0) {
    call->second.running_since = loop_->ReadClocks().mono;
  }
  upstreams_.Send(action, call->second.upstream_request);
}

void Gateway::ExecuteAction(const CancelAttempt& action) {
  upstreams_.Cancel(action.attempt);
}

void Gateway::ExecuteAction(const AnswerCall& action) {
  const std::optional<Call> call = EndCall(action.call, CallOutcome::kAnswered);
  if (!call) {
    return;
  }
  const auto response =
      std::find_if(call->responses.begin(), call->responses.end(),
                   [&](const auto& entry) { return entry.first == action.attempt; });
  assert(response != call->responses.end());
  if (action.keyed) {
    const StoredResponse stored = ToStoredResponse(*response->second);
    NotifyNode(
        [&](Now now, NodeActions* out) { node_.OnCallAnswered(now, action.call, stored, out); });
  }
  callers_.Answer(action.call, call->request_id, *response->second);
  const Duration call_latency = loop_->ReadClocks().mono - call->arrived;
  metrics_.ObserveCallLatency(call_latency);
  metrics_.ObserveAddedLatency(call_latency - call->upstream_time);
}

void Gateway::ExecuteAction(const RefuseCall& action) {
  if (const std::optional<Call> call = EndCall(action.call, CallOutcome::kRefused)) {
    metrics_.CountRefusal(action.refusal.reason, call->workspace);
    callers_.Refuse(action.call, call->request_id, action.refusal);
  }
}

void Gateway::ExecuteAction(const ReplayCall& action) {
  if (const std::optional<Call> call = EndCall(action.call, CallOutcome::kReplayed)) {
    callers_.Replay(action.call, call->request_id, action.status, action.content_type, action.body);
  }
}

void Gateway::ExecuteAction(const CloseConnections& action) {
  metrics_.CountSilentConnections();
  upstreams_.CloseOldConnections(action);
}

void Gateway::ExecuteAction(const SendProbe& action) {
  upstreams_.Probe(action);
}

void Gateway::ExecuteAction(const SendPeerMessage& action) {
  send_peer_message_.emit(action);
}

void Gateway::ExecuteAction(const SetPeerAddress& action) {
  set_peer_address_.emit(action);
}

void Gateway::ExecuteAction(const ReplacePeerConnection& action) {
  replace_peer_connection_.emit(action);
}

void Gateway::ExecuteAction(const ApplyTableUpdate& action) {
  table_update_received_.emit(action.update);
}

void Gateway::ExecuteAction(const ServeTableFetch& action) {
  table_fetch_received_.emit(action.from, action.fetch);
}

void Gateway::ExecuteAction(const WriteRolloutStatus& action) {
  rollout_status_write_.emit(action.write);
}

void Gateway::ExecuteAction(const WriteLog& action) {
  LogEvent(action.event);
}

void Gateway::ExecuteAction(const SendOperatorReply& action) {
  operator_reply_.emit(action.reply);
}

void Gateway::ExecuteAction(const CallTable& action) {
  const auto answer = [this, id = action.id](const TableReply& reply) {
    metrics_.CountTableReply(reply.status);
    NotifyNode([&](Now now, NodeActions* out) { node_.OnTableReply(now, id, reply, out); });
  };
  if (platform_ == nullptr) {
    answer(TableReply());
    return;
  }
  platform_->SendTableRequest(action.request, action.timeout, answer);
}

void Gateway::ExecuteAction(const FetchVmList&) {
  if (platform_ != nullptr) {
    platform_->FetchVms(kVmListTimeout, [this](const VmList& vms) {
      NotifyNode([&](Now now, NodeActions* out) { node_.OnVmList(now, vms, out); });
    });
  }
}

}  // namespace jd
