#include "tests/hostile_harness.h"

namespace jd {
namespace {

TEST_CASE("large bodies that stop short of their end do not exhaust the memory",
          "[hostile_large_chunks_test]") {
  // Guards against bodies that are each within the limit, but not all together.
  HostileTestGateway gateway("hostile_large_chunks_test");
  // 7.5 MB each, 120 MB together.
  HostileCrowd crowd(&gateway, 16, "Transfer-Encoding: chunked\r\n", Chunk(65536), 120);
  crowd.Send();
  gateway.CheckUnharmed(crowd.size());
}

}  // namespace
}  // namespace jd
