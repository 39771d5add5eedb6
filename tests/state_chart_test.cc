#include "common/state_chart.h"

#include <catch2/catch.hpp>

namespace jd {
namespace {

TEST_CASE("a machine takes only the transitions that its chart lists", "[state_chart_test]") {
  const StateChart chart = StateChart::Parse(R"(
    initial = "idle"
    final = ["done"]
    [states.idle]
    start = { to = "running", action = "send" }
    [states.running]
    stop = { to = "done" }
    [states.done]
  )");
  StateChart::Machine machine(chart);
  CHECK(machine.Fire("stop") == nullptr);
  CHECK(machine.state() == "idle");
  REQUIRE(machine.Fire("start") != nullptr);
  CHECK(machine.state() == "running");
  REQUIRE(machine.Fire("stop") != nullptr);
  CHECK(machine.done());
}

TEST_CASE("a chart with an unknown target state and a missing chart are rejected",
          "[state_chart_test]") {
  CHECK_THROWS_AS(StateChart::Parse("initial = \"a\"\n[states.a]\ngo = { to = \"b\" }"),
                  ChartError);
  CHECK_THROWS_AS(StateChart::Load("no-such-chart"), ChartError);
}

}  // namespace
}  // namespace jd
