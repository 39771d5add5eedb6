#include "cluster/probe_scheduler.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace jd {
namespace {

const EndpointId kEndpoint("bench/1");
const ProbeSettings kSettings{6, 0.005, 6ms, 1ms};

// Guards against a change of owner that refills the budget. A probe is sent after a second without
// a response; if the endpoint has few slots, the budget of that second does not cover a probe.
TEST_CASE("probes stay within their budget across owner changes", "[probe_scheduler_test]") {
  CHECK(rc::check([](const std::vector<std::pair<uint8_t, bool>>& steps) {
    const int32_t slots = *rc::gen::inRange(1, 7);
    ProbeSettings settings = kSettings;
    settings.slots = slots;
    MonoTime now(1000s);
    const MonoTime start = now;
    ProbeScheduler scheduler;
    scheduler.SetEndpoint(now, kEndpoint, settings);
    Duration spent{0};
    for (const auto& [wait, change] : steps) {
      now += wait * 20ms;
      if (change) {
        scheduler = ProbeScheduler();
        scheduler.SetEndpoint(now, kEndpoint, settings);
      }
      spent += scheduler.TakeProbes(now).size() * 7ms;
      RC_ASSERT(spent <= Scale(now - start, slots * 0.005));
    }
  }));
}

// Guards against probing an endpoint whose load is known from its responses anyway, and against
// never probing an endpoint.
TEST_CASE("an endpoint is probed only when it has not responded recently",
          "[probe_scheduler_test]") {
  const MonoTime start(1000s);
  ProbeScheduler scheduler;
  scheduler.SetEndpoint(start, kEndpoint, kSettings);
  scheduler.OnResponse(start + 9500ms, kEndpoint);
  CHECK(scheduler.TakeProbes(start + 10s).empty());
  CHECK(scheduler.next_timer() == start + 10500ms);
  CHECK(scheduler.TakeProbes(start + 10500ms) == std::vector{kEndpoint});
  CHECK(scheduler.TakeProbes(start + 10500ms).empty());
}

}  // namespace
}  // namespace jd
