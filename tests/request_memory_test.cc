#include "net/request_memory.h"

#include <catch2/catch.hpp>

namespace jd {
namespace {

constexpr size_t kLimit = 1 << 20;
constexpr size_t kSmall = RequestMemory::kSmallRequestBytes;

TEST_CASE("under the limit nothing gives way", "[request_memory_test]") {
  RequestMemory memory;
  memory.SetLimit(kLimit);
  RequestMemory::Part part(&memory);
  part.Set({kLimit, 0, 0});
  CHECK(memory.RequestToRefuse() == nullptr);
  CHECK(memory.ConnectionToClose() == nullptr);
}

TEST_CASE("over the limit the largest incomplete request gives way", "[request_memory_test]") {
  // Guards against ordinary calls that are refused in place of the requests that take the memory.
  RequestMemory memory;
  memory.SetLimit(kLimit);
  RequestMemory::Part ordinary(&memory);
  RequestMemory::Part large(&memory);
  RequestMemory::Part larger(&memory);
  ordinary.Set({100, 0, 0});
  large.Set({kLimit / 2, 0, 0});
  larger.Set({kLimit / 2 + 1, 0, 0});
  CHECK(memory.RequestToRefuse() == &larger);
  larger.Set({});
  CHECK(memory.RequestToRefuse() == nullptr);
}

TEST_CASE("small requests give way above the upper limit only", "[request_memory_test]") {
  // Guards against a few large calls in flight that shut out ordinary ones, and against a crowd of
  // small requests without end.
  RequestMemory memory;
  memory.SetLimit(kLimit);
  RequestMemory::Part in_flight(&memory);
  RequestMemory::Part ordinary(&memory);
  in_flight.Set({0, kLimit, 0});
  ordinary.Set({kSmall, 0, 0});
  CHECK(memory.RequestToRefuse() == nullptr);
  in_flight.Set({0, kLimit + kLimit / 8, 0});
  CHECK(memory.RequestToRefuse() == &ordinary);
}

TEST_CASE("a receiver that does not read is closed if nothing else can give way",
          "[request_memory_test]") {
  RequestMemory memory;
  memory.SetLimit(kLimit);
  RequestMemory::Part calm(&memory);
  RequestMemory::Part stalled(&memory);
  calm.Set({0, 0, 100});
  stalled.Set({0, 0, 2 * kLimit});
  CHECK(memory.ConnectionToClose() == &stalled);
  calm.Set({1, 0, 100});
  CHECK(memory.ConnectionToClose() == nullptr);
  CHECK(memory.RequestToRefuse() == &calm);
}

TEST_CASE("memory is given back with the connection", "[request_memory_test]") {
  RequestMemory memory;
  {
    RequestMemory::Part part(&memory);
    part.Set({1, 2, 3});
    CHECK(memory.used_bytes() == 6);
  }
  CHECK(memory.used_bytes() == 0);
}

}  // namespace
}  // namespace jd
