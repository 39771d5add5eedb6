#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "policy/fresh_load.h"
#include "policy/least_request.h"
#include "policy/local_slots.h"
#include "policy/reported_load.h"
#include "policy/round_robin.h"
#include "policy/routing_policy.h"
#include "policy/slot_holder.h"

namespace jd {

/// Holds one of the routing policies, which is chosen at run time, and forwards all calls to it.
class PolicyVariant {
 public:
  using Alternatives =
      std::variant<LocalSlots, RoundRobin, LeastRequest, ReportedLoad, SlotHolder, FreshLoad>;
  static constexpr std::string_view kName = "variant";

  explicit PolicyVariant(Alternatives policy) : policy_(std::move(policy)) {}
  /// Creates the policy whose kName is `name`.
  /// @throws std::invalid_argument if there is no such policy or its constructor needs arguments.
  static PolicyVariant ByName(std::string_view name);

  std::optional<EndpointId> Acquire(MonoTime now,
                                    const AcquireRequest& request,
                                    RandomEngine& random);
  void Release(MonoTime now, const EndpointId& endpoint, const AttemptResult& result);
  void SetService(MonoTime now, const ServiceView& view);
  void RemoveService(MonoTime now, const ServiceId& service);
  void SetQueueLength(MonoTime now, const ServiceId& service, int32_t queue_length);
  void OnLoadReport(MonoTime now, const EndpointId& endpoint, const LoadReport& report);

  /// Returns whether the policy probes endpoints before each call. If it doesn't,
  /// ChooseProbeTargets returns no endpoints.
  bool uses_probes() const;
  std::vector<EndpointId> ChooseProbeTargets(MonoTime now,
                                             const AcquireRequest& request,
                                             int stage,
                                             RandomEngine& random);
  void SetProbeRate(MonoTime now, double rate);
  bool OnProbeResult(MonoTime now, const ProbeResult& result);
  std::string DescribeLoad(MonoTime now, const EndpointId& endpoint) const;
  std::optional<CallRate> KnownLimit(const EndpointId& endpoint) const;
  void OnPermitRefused(const EndpointId& endpoint, MonoTime retry_at);
  /// Returns how often the policy passed over an endpoint, by reason; zeros if it does not count.
  EndpointHoldCounts hold_counts() const;

  /// Returns the name of the policy.
  std::string_view name() const;
  /// Returns the policy if its type is P, otherwise null.
  template <RoutingPolicy P>
  P* get_if() {
    return std::get_if<P>(&policy_);
  }

 private:
  Alternatives policy_;
};

static_assert(ProbingPolicy<PolicyVariant>);

}  // namespace jd
