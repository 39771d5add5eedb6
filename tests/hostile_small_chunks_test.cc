#include "tests/hostile_harness.h"

namespace jd {
namespace {

TEST_CASE("bodies in chunks of one byte do not exhaust the memory", "[hostile_small_chunks_test]") {
  // Guards against chunks that take a multiple of their bytes in memory.
  HostileTestGateway gateway("hostile_small_chunks_test");
  // 512 kB of body and 3 MB on the wire each.
  HostileCrowd crowd(&gateway, 40, "Transfer-Encoding: chunked\r\n", Repeat(Chunk(1), 4096), 128);
  crowd.Send();
  gateway.CheckUnharmed(crowd.size());
}

}  // namespace
}  // namespace jd
