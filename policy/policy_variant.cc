#include "policy/policy_variant.h"

#include <stdexcept>
#include <string>

namespace jd {
namespace {

template <size_t Index = 0>
PolicyVariant::Alternatives MakeByName(std::string_view name) {
  if constexpr (Index == std::variant_size_v<PolicyVariant::Alternatives>) {
    throw std::invalid_argument("no routing policy is named '" + std::string(name) + "'");
  } else {
    using P = std::variant_alternative_t<Index, PolicyVariant::Alternatives>;
    // A policy whose constructor needs arguments can't be made from its name; callers construct it
    // and pass it to the constructor of PolicyVariant.
    if constexpr (std::is_default_constructible_v<P>) {
      if (name == P::kName) {
        return P();
      }
    }
    return MakeByName<Index + 1>(name);
  }
}

}  // namespace

PolicyVariant PolicyVariant::ByName(std::string_view name) {
  return PolicyVariant(MakeByName(name));
}

std::optional<EndpointId> PolicyVariant::Acquire(MonoTime now,
                                                 const AcquireRequest& request,
                                                 RandomEngine& random) {
  return std::visit([&](auto& policy) { return policy.Acquire(now, request, random); }, policy_);
}

void PolicyVariant::Release(MonoTime now, const EndpointId& endpoint, const AttemptResult& result) {
  std::visit([&](auto& policy) { policy.Release(now, endpoint, result); }, policy_);
}

void PolicyVariant::SetService(MonoTime now, const ServiceView& view) {
  std::visit([&](auto& policy) { policy.SetService(now, view); }, policy_);
}

void PolicyVariant::RemoveService(MonoTime now, const ServiceId& service) {
  std::visit([&](auto& policy) { policy.RemoveService(now, service); }, policy_);
}

void PolicyVariant::SetQueueLength(MonoTime now, const ServiceId& service, int32_t queue_length) {
  std::visit([&](auto& policy) { policy.SetQueueLength(now, service, queue_length); }, policy_);
}

void PolicyVariant::OnLoadReport(MonoTime now,
                                 const EndpointId& endpoint,
                                 const LoadReport& report) {
  std::visit([&](auto& policy) { policy.OnLoadReport(now, endpoint, report); }, policy_);
}

bool PolicyVariant::uses_probes() const {
  return std::visit(
      [](const auto& policy) { return ProbingPolicy<std::decay_t<decltype(policy)>>; }, policy_);
}

std::vector<EndpointId> PolicyVariant::ChooseProbeTargets(MonoTime now,
                                                          const AcquireRequest& request,
                                                          int stage,
                                                          RandomEngine& random) {
  return std::visit(
      [&](auto& policy) -> std::vector<EndpointId> {
        if constexpr (ProbingPolicy<std::decay_t<decltype(policy)>>) {
          return policy.ChooseProbeTargets(now, request, stage, random);
        } else {
          return {};
        }
      },
      policy_);
}

void PolicyVariant::SetProbeRate(MonoTime now, double rate) {
  std::visit(
      [&](auto& policy) {
        if constexpr (ProbingPolicy<std::decay_t<decltype(policy)>>) {
          policy.SetProbeRate(now, rate);
        }
      },
      policy_);
}

bool PolicyVariant::OnProbeResult(MonoTime now, const ProbeResult& result) {
  return std::visit(
      [&](auto& policy) {
        if constexpr (ProbingPolicy<std::decay_t<decltype(policy)>>) {
          return policy.OnProbeResult(now, result);
        } else {
          return false;
        }
      },
      policy_);
}

std::string PolicyVariant::DescribeLoad(MonoTime now, const EndpointId& endpoint) const {
  return std::visit(
      [&](const auto& policy) -> std::string {
        if constexpr (ProbingPolicy<std::decay_t<decltype(policy)>>) {
          return policy.DescribeLoad(now, endpoint);
        } else {
          return {};
        }
      },
      policy_);
}

std::optional<CallRate> PolicyVariant::KnownLimit(const EndpointId& endpoint) const {
  return std::visit(
      [&](const auto& policy) -> std::optional<CallRate> {
        if constexpr (ProbingPolicy<std::decay_t<decltype(policy)>>) {
          return policy.KnownLimit(endpoint);
        } else {
          return std::nullopt;
        }
      },
      policy_);
}

void PolicyVariant::OnPermitRefused(const EndpointId& endpoint, MonoTime retry_at) {
  std::visit(
      [&](auto& policy) {
        if constexpr (ProbingPolicy<std::decay_t<decltype(policy)>>) {
          policy.OnPermitRefused(endpoint, retry_at);
        }
      },
      policy_);
}

EndpointHoldCounts PolicyVariant::hold_counts() const {
  const auto* policy = std::get_if<FreshLoad>(&policy_);
  return policy == nullptr ? EndpointHoldCounts{} : policy->hold_counts();
}

std::string_view PolicyVariant::name() const {
  return std::visit([](const auto& policy) { return std::decay_t<decltype(policy)>::kName; },
                    policy_);
}

}  // namespace jd
