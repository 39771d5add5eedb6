#include "tests/hostile_harness.h"

namespace jd {
namespace {

TEST_CASE("bodies that are announced as too large do not exhaust the memory",
          "[hostile_announced_bodies_test]") {
  // Guards against a process that stores what a caller sends after its body was refused.
  HostileTestGateway gateway("hostile_announced_bodies_test");
  HostileCrowd crowd(&gateway, 40, "Content-Length: 209715200\r\n", std::string(kMegabyte / 4, 'x'),
                     16);
  crowd.Send();
  gateway.CheckUnharmed(crowd.size());
}

}  // namespace
}  // namespace jd
