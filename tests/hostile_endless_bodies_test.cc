#include "tests/hostile_harness.h"

namespace jd {
namespace {

TEST_CASE("chunked bodies without end do not exhaust the memory", "[hostile_endless_bodies_test]") {
  // Guards against bodies that are each within the limit until they are refused.
  HostileTestGateway gateway("hostile_endless_bodies_test");
  HostileCrowd crowd(&gateway, 40, "Transfer-Encoding: chunked\r\n", Chunk(65536), 256);
  crowd.Send();
  gateway.CheckUnharmed(crowd.size());
}

}  // namespace
}  // namespace jd
