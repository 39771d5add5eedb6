#include "common/load_report.h"

#include <catch2/catch.hpp>

namespace jd {
namespace {

TEST_CASE("parsing a formatted load report returns the same report", "[load_report_test]") {
  LoadReport report;
  report.in_flight = 3;
  report.slots = 4;
  report.state = EndpointState::kDraining;
  report.instance = InstanceId("a1");
  CHECK(ParseLoadReport(FormatLoadReport(report), InstanceId("a1")) == report);
}

TEST_CASE("a malformed load report is rejected instead of being treated as idle",
          "[load_report_test]") {
  for (const char* text : {"", "in-flight", "in-flight=-1", "in-flight=x;slots=4", "slots=4",
                           "in-flight=1;state=hot", "in-flight=99999999999"}) {
    INFO(text);
    CHECK_FALSE(ParseLoadReport(text, InstanceId()).has_value());
  }
}

}  // namespace
}  // namespace jd
