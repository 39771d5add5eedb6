// The faults of the soak in which an endpoint says something of itself only in its answers.
#include "soak/soak.h"

namespace jd {
namespace {

// Longer than the time after which gateways that were told must send nothing.
constexpr Duration kServiceTimeAfterStatement = GuaranteeChecker::kMaxLeavingDelay + 1500ms;
constexpr Duration kRestartDelay = 500ms;

}  // namespace

void Soak::SayLeaving(Upstream* upstream) {
  if (!upstream->server->running() || upstream->leaving) {
    return;
  }
  upstream->server->SayLeaving();
  const std::string instance = upstream->server->instance();
  checker_.OnLeavingStated(instance);
  RunAfter(kServiceTimeAfterStatement, [this, upstream, instance] {
    if (upstream->server->running() && upstream->server->instance() == instance) {
      CrashEndpoint(upstream, kRestartDelay);
    }
  });
}

void Soak::WantNothing(Upstream* upstream, Duration duration) {
  if (upstream->server->running()) {
    upstream->server->WantNothing(now_ + duration);
    checker_.OnWantsNothing(upstream->server->instance(), now_ + duration);
  }
}

}  // namespace jd
