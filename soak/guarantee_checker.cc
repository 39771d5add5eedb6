#include "soak/guarantee_checker.h"

#include <algorithm>
#include <cstdio>

namespace jd {
namespace {

// After the recovery time at least one in this many requests must be served.
constexpr size_t kRecoveredDivisor = 4;
// An endpoint may get this many times what its limit allows in a window, and kLimitSlack more.
constexpr double kLimitTolerance = 1.5;
constexpr double kLimitSlack = 5;

// Returns whether a status tells the caller that its request has not run and never will.
bool ReportsNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void GuaranteeChecker::OnRequestSent(MonoTime now, const SoakRequest& request) {
  requests_[request.id] = {request, now, 0, std::nullopt};
}

void GuaranteeChecker::OnAnswer(MonoTime now, const std::string& id, const SoakAnswer& answer) {
  Request& request = requests_.at(id);
  request.answer = answer;
  const Duration took = now - request.sent_at;
  if (took > request.sent.timeout + kAnswerTolerance &&
      GatewayAndStoreSettled(request.sent.gateway, now)) {
    AddViolation(now, "late answer", request, std::to_string(took.count() / 1000) + " ms");
  }
  if (answer.status == 0) {
    CheckConnectionLoss(now, request);
    return;
  }
  if (answer.request_id != id && !answer.request_id.empty()) {
    AddViolation(now, "misdirected answer", request, "for request " + answer.request_id);
  }
  CheckConfiguration(now, request, answer);
  const bool recovered = all_faults_ended_ && request.sent_at > *all_faults_ended_ + kRecoveryTime;
  sent_after_recovery_ += recovered ? 1 : 0;
  if (ReportsNotRun(answer.status)) {
    ++refused_;
    if (request.runs > 0 && !request.sent.idempotent) {
      AddViolation(now, "refused and ran", request, "status " + std::to_string(answer.status));
    }
    return;
  }
  if (answer.status != 200) {
    return;
  }
  ++served_;
  served_after_recovery_ += recovered ? 1 : 0;
  if (answer.stamp.empty() || answer.body != answer.stamp + " ran " + id) {
    AddViolation(now, "wrong answer", request,
                 "stamp '" + answer.stamp + "' body '" + answer.body + "'");
  }
}

void GuaranteeChecker::OnRequestArrived(MonoTime now,
                                        const std::string& id,
                                        const std::string& endpoint,
                                        const std::string& zone,
                                        bool runs) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    violations_.push_back("request that no caller sent: " + id + " at " + endpoint);
    return;
  }
  Request& request = found->second;
  const auto link_fault = link_faults_until_.find(endpoint);
  if (link_fault == link_faults_until_.end() || now > link_fault->second + kSettlingTime) {
    CheckLeaving(now, request, endpoint);
    CheckZone(now, request, zone);
    CheckLimit(now, request, endpoint);
    CheckStatement(now, request, endpoint);
  }
  if (!runs) {
    return;
  }
  ++request.runs;
  if (request.sent.idempotent) {
    return;
  }
  if (request.runs > 1) {
    AddViolation(now, "ran twice", request, "at " + endpoint);
  }
  if (request.answer && ReportsNotRun(request.answer->status)) {
    AddViolation(now, "ran after it was refused", request, "at " + endpoint);
  }
}

void GuaranteeChecker::OnEndpointLeaving(MonoTime now, const std::string& endpoint) {
  leaving_since_.emplace(endpoint, now);
}

void GuaranteeChecker::OnLimitNamed(MonoTime now,
                                    const std::string& endpoint,
                                    std::optional<double> limit) {
  limits_.erase(endpoint);
  if (limit) {
    limits_[endpoint] = {*limit, now, {}};
  }
}

void GuaranteeChecker::OnZoneChanged(MonoTime now, const std::string& zone, bool out) {
  if (out) {
    zones_out_[zone] = now;
  } else {
    zones_out_.erase(zone);
  }
}

void GuaranteeChecker::OnConfigurationAccepted(MonoTime now, uint64_t version) {
  configurations_[version] = now;
}

void GuaranteeChecker::OnGatewayFaulty(MonoTime now,
                                       const std::string& gateway,
                                       bool interrupts_requests) {
  FaultState& state = gateways_[gateway];
  state.last_fault_end.reset();
  state.interrupts_requests = state.interrupts_requests || interrupts_requests;
  state.last_interruption = state.interrupts_requests ? now : state.last_interruption;
}

void GuaranteeChecker::OnGatewayFaultsEnded(MonoTime now, const std::string& gateway) {
  FaultState& state = gateways_[gateway];
  state.last_fault_end = now;
  state.last_interruption = state.interrupts_requests ? now : state.last_interruption;
  state.interrupts_requests = false;
}

void GuaranteeChecker::SetStoreFaulty(MonoTime now, bool faulty) {
  store_.last_fault_end = faulty ? std::nullopt : std::optional(now);
}

void GuaranteeChecker::Finish(MonoTime now) {
  for (const auto& [id, request] : requests_) {
    const bool overdue = now > request.sent_at + request.sent.timeout + kAnswerTolerance;
    if (!request.answer && overdue && GatewayAndStoreSettled(request.sent.gateway, now)) {
      AddViolation(now, "no answer", request, "none until the end of the run");
    }
  }
  if (served_after_recovery_ * kRecoveredDivisor < sent_after_recovery_ ||
      sent_after_recovery_ == 0) {
    violations_.push_back("service not recovered: " + std::to_string(served_after_recovery_) +
                          " of " + std::to_string(sent_after_recovery_) +
                          " answered requests served after the recovery time");
  }
}

bool GuaranteeChecker::IsSettled(const FaultState& state, MonoTime now) {
  return state.last_fault_end && now >= *state.last_fault_end + kSettlingTime;
}

bool GuaranteeChecker::GatewayAndStoreSettled(const std::string& gateway, MonoTime now) const {
  const auto state = gateways_.find(gateway);
  return IsSettled(store_, now) && (state == gateways_.end() || IsSettled(state->second, now));
}

void GuaranteeChecker::CheckLimit(MonoTime now,
                                  const Request& request,
                                  const std::string& endpoint) {
  const auto found = limits_.find(endpoint);
  if (found == limits_.end() || now < found->second.named_at + kMaxLimitDelay) {
    return;
  }
  NamedLimit& limit = found->second;
  while (!limit.arrivals.empty() && limit.arrivals.front() + kLimitWindow <= now) {
    limit.arrivals.pop_front();
  }
  limit.arrivals.push_back(now);
  const double window_s = std::chrono::duration<double>(kLimitWindow).count();
  const double allowed = kLimitTolerance * limit.per_second * window_s + kLimitSlack;
  if (static_cast<double>(limit.arrivals.size()) > allowed) {
    AddViolation(now, "limit", request,
                 std::to_string(limit.arrivals.size()) + " requests in a window at " + endpoint +
                     ", limit " + std::to_string(limit.per_second));
  }
}

void GuaranteeChecker::CheckLeaving(MonoTime now,
                                    const Request& request,
                                    const std::string& endpoint) {
  const auto leaving = leaving_since_.find(endpoint);
  if (leaving != leaving_since_.end() && now > leaving->second + kMaxLeavingDelay &&
      GatewayAndStoreSettled(request.sent.gateway, now)) {
    AddViolation(now, "sent to a leaving endpoint", request, endpoint);
  }
}

void GuaranteeChecker::OnLeavingStated(const std::string& endpoint) {
  Statement& statement = statements_[endpoint];
  statement.leaving = true;
  statement.told.clear();
}

void GuaranteeChecker::OnWantsNothing(const std::string& endpoint, MonoTime until) {
  Statement& statement = statements_[endpoint];
  statement.wants_nothing_until = until;
  statement.told.clear();
  statement.late.clear();
}

void GuaranteeChecker::CheckStatement(MonoTime now,
                                      const Request& request,
                                      const std::string& endpoint) {
  const auto found = statements_.find(endpoint);
  if (found == statements_.end()) {
    return;
  }
  Statement& statement = found->second;
  const std::string& gateway = request.sent.gateway;
  const bool wants_nothing = now < statement.wants_nothing_until;
  if (!statement.leaving && !wants_nothing) {
    return;
  }
  const auto state = gateways_.find(gateway);
  if (state != gateways_.end() && !IsSettled(state->second, now)) {
    statement.told.erase(gateway);
    return;
  }
  const auto [told, first] = statement.told.try_emplace(gateway, now);
  if (first) {
    return;
  }
  if (statement.leaving && now > told->second + kMaxLeavingDelay) {
    AddViolation(now, "sent to an endpoint that said that it leaves", request, endpoint);
  }
  if (wants_nothing && now > told->second + kMaxWantsNothingDelay &&
      ++statement.late[gateway] > kMaxRequestsWhileUnwanted) {
    AddViolation(now, "sent to an endpoint that wants nothing", request, endpoint);
  }
}

void GuaranteeChecker::CheckZone(MonoTime now, const Request& request, const std::string& zone) {
  const auto out = zones_out_.find(zone);
  if (out != zones_out_.end() && now > out->second + kMaxZoneOutDelay &&
      GatewayAndStoreSettled(request.sent.gateway, now)) {
    AddViolation(now, "sent to a zone that is out of service", request, zone);
  }
}

void GuaranteeChecker::CheckConfiguration(MonoTime now,
                                          const Request& request,
                                          const SoakAnswer& answer) {
  const uint64_t version = request.sent.route_version;
  if (version == 0 || !GatewayAndStoreSettled(request.sent.gateway, now)) {
    return;
  }
  const auto accepted = configurations_.find(version);
  const auto newest = std::prev(configurations_.end());
  const bool in_force = request.sent_at > accepted->second + kMaxConfigurationDelay;
  const bool replaced =
      newest->first > version && request.sent_at > newest->second + kMaxConfigurationDelay;
  if (in_force && newest->first == version && answer.status == 404) {
    AddViolation(now, "new configuration not in force", request,
                 "version " + std::to_string(version));
  }
  if (replaced && answer.status != 404) {
    AddViolation(now, "old configuration still in force", request,
                 "version " + std::to_string(version));
  }
}

void GuaranteeChecker::CheckConnectionLoss(MonoTime now, const Request& request) {
  const auto state = gateways_.find(request.sent.gateway);
  const bool interrupted =
      state != gateways_.end() &&
      (state->second.interrupts_requests || state->second.last_interruption >= request.sent_at);
  if (request.runs > 0 && !interrupted) {
    AddViolation(now, "connection ended without an answer", request,
                 "ran " + std::to_string(request.runs) + " times");
  }
}

void GuaranteeChecker::AddViolation(MonoTime now,
                                    const char* guarantee,
                                    const Request& request,
                                    const std::string& what) {
  char text[64];
  std::snprintf(text, sizeof(text),
                " at %.3f s: ", std::chrono::duration<double>(now.time_since_epoch()).count());
  violations_.push_back(guarantee + std::string(text) + "request " + request.sent.id + " through " +
                        request.sent.gateway + ", " + what);
}

}  // namespace jd
