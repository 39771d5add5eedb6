#include "soak/promises.h"

#include <algorithm>
#include <cstdio>

namespace jd {
namespace {

// After the recovery time at least one in this many requests must be served.
constexpr size_t kRecoveredPart = 4;

// Returns whether a status tells the caller that its request has not run and never will.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void Promises::OnSent(MonoTime now, const SoakRequest& request) {
  requests_[request.id] = {request, now, 0, std::nullopt, {}};
}

void Promises::OnAnswer(MonoTime now, const std::string& id, const SoakAnswer& answer) {
  Request& request = requests_.at(id);
  request.answer = answer;
  const Duration took = now - request.at;
  if (took > request.sent.limit + kLateBound && InTouch(request.sent.gateway, now)) {
    Violate(now, "late answer", request, std::to_string(took.count() / 1000) + " ms");
  }
  if (answer.status == 0) {
    CheckLost(now, request);
    return;
  }
  if (answer.request != id && !answer.request.empty()) {
    Violate(now, "misdirected answer", request, "for request " + answer.request);
  }
  CheckRoute(now, request, answer);
  const bool recovered = all_calm_ && request.at > *all_calm_ + kRecovery;
  last_sent_ += recovered ? 1 : 0;
  if (PromisesNotRun(answer.status)) {
    ++refused_;
    if (request.runs > 0 && !request.sent.idempotent) {
      Violate(now, "refused and ran", request, "status " + std::to_string(answer.status));
    }
    return;
  }
  if (answer.status != 200) {
    return;
  }
  ++served_;
  last_served_ += recovered ? 1 : 0;
  if (answer.stamp.empty() || answer.body != answer.stamp + " ran " + id) {
    Violate(now, "wrong answer", request,
            "stamp '" + answer.stamp + "' body '" + answer.body + "'");
  }
}

void Promises::OnArrival(MonoTime now,
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
  const auto harmed = harmed_.find(endpoint);
  if (harmed == harmed_.end() || now > harmed->second + kCalm) {
    CheckLeaving(now, request, endpoint);
    CheckZone(now, request, zone);
  }
  if (!runs) {
    return;
  }
  ++request.runs;
  if (request.sent.idempotent) {
    return;
  }
  if (request.runs > 1) {
    Violate(now, "ran twice", request, "at " + endpoint);
  }
  if (request.answer && PromisesNotRun(request.answer->status)) {
    Violate(now, "ran after it was refused", request, "at " + endpoint);
  }
}

void Promises::OnLeaving(MonoTime now, const std::string& endpoint) {
  leaving_.emplace(endpoint, now);
}

void Promises::OnZone(MonoTime now, const std::string& zone, bool out) {
  if (out) {
    zones_out_[zone] = now;
  } else {
    zones_out_.erase(zone);
  }
}

void Promises::OnConfiguration(MonoTime now, uint64_t version) {
  configurations_[version] = now;
}

void Promises::OnGatewayDisturbed(MonoTime now, const std::string& gateway, bool cuts_requests) {
  Calm& calm = gateways_[gateway];
  calm.since.reset();
  calm.cuts_requests = calm.cuts_requests || cuts_requests;
  calm.cut = calm.cuts_requests ? now : calm.cut;
}

void Promises::OnGatewayCalm(MonoTime now, const std::string& gateway) {
  Calm& calm = gateways_[gateway];
  calm.since = now;
  calm.cut = calm.cuts_requests ? now : calm.cut;
  calm.cuts_requests = false;
}

void Promises::OnStoreDisturbed(MonoTime now, bool disturbed) {
  store_.since = disturbed ? std::nullopt : std::optional(now);
}

void Promises::Finish(MonoTime now) {
  for (const auto& [id, request] : requests_) {
    const bool overdue = now > request.at + request.sent.limit + kLateBound;
    if (!request.answer && overdue && InTouch(request.sent.gateway, now)) {
      Violate(now, "no answer", request, "none until the end of the run");
    }
  }
  if (last_served_ * kRecoveredPart < last_sent_ || last_sent_ == 0) {
    violations_.push_back("service not recovered: " + std::to_string(last_served_) + " of " +
                          std::to_string(last_sent_) +
                          " answered requests served after the recovery time");
  }
}

bool Promises::IsCalm(const Calm& calm, MonoTime now) {
  return calm.since && now >= *calm.since + kCalm;
}

bool Promises::InTouch(const std::string& gateway, MonoTime now) const {
  const auto calm = gateways_.find(gateway);
  return IsCalm(store_, now) && (calm == gateways_.end() || IsCalm(calm->second, now));
}

void Promises::CheckLeaving(MonoTime now, const Request& request, const std::string& endpoint) {
  const auto leaving = leaving_.find(endpoint);
  if (leaving != leaving_.end() && now > leaving->second + kLeavingBound &&
      InTouch(request.sent.gateway, now)) {
    Violate(now, "sent to a leaving endpoint", request, endpoint);
  }
}

void Promises::CheckZone(MonoTime now, const Request& request, const std::string& zone) {
  const auto out = zones_out_.find(zone);
  if (out != zones_out_.end() && now > out->second + kZoneOutBound &&
      InTouch(request.sent.gateway, now)) {
    Violate(now, "sent to a zone that is out of service", request, zone);
  }
}

void Promises::CheckRoute(MonoTime now, const Request& request, const SoakAnswer& answer) {
  const uint64_t version = request.sent.route_version;
  if (version == 0 || !InTouch(request.sent.gateway, now)) {
    return;
  }
  const auto taken = configurations_.find(version);
  const auto newest = std::prev(configurations_.end());
  const bool in_force = request.at > taken->second + kConfigurationBound;
  const bool replaced =
      newest->first > version && request.at > newest->second + kConfigurationBound;
  if (in_force && newest->first == version && answer.status == 404) {
    Violate(now, "new configuration not in force", request, "version " + std::to_string(version));
  }
  if (replaced && answer.status != 404) {
    Violate(now, "old configuration still in force", request, "version " + std::to_string(version));
  }
}

void Promises::CheckLost(MonoTime now, const Request& request) {
  const auto calm = gateways_.find(request.sent.gateway);
  const bool cut =
      calm != gateways_.end() && (calm->second.cuts_requests || calm->second.cut >= request.at);
  if (request.runs > 0 && !cut) {
    Violate(now, "connection ended without an answer", request,
            "ran " + std::to_string(request.runs) + " times");
  }
}

void Promises::Violate(MonoTime now,
                       const char* promise,
                       const Request& request,
                       const std::string& what) {
  char text[64];
  std::snprintf(text, sizeof(text),
                " at %.3f s: ", std::chrono::duration<double>(now.time_since_epoch()).count());
  violations_.push_back(promise + std::string(text) + "request " + request.sent.id + " through " +
                        request.sent.gateway + ", " + what);
}

}  // namespace jd
