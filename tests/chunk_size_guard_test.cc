#include "gateway/chunk_size_guard.h"

#include <catch2/catch.hpp>

#include <string>

namespace jd {
namespace {

TEST_CASE("only a size line that is too long is refused, however the bytes are split",
          "[chunk_size_guard_test]") {
  // Guards against a size line or extension without end, and against mistaking the data of a chunk
  // for a size line.
  const std::string data(500, 'a');
  const std::string valid = "1f4;x=y\r\n" + data + "\r\nA\n0123456789\r\n0\r\n";
  const std::string trailer = "trailer: " + std::string(500, 't');
  const std::string endless = "2\r\nab\r\n3;" + std::string(500, 'x');
  for (const size_t step : {size_t{1}, size_t{7}, valid.size()}) {
    ChunkSizeGuard guard;
    guard.Start(100);
    bool ok = true;
    for (size_t at = 0; at < valid.size(); at += step) {
      ok = ok && guard.Track(std::string_view(valid).substr(at, step));
    }
    CHECK(ok);
    CHECK(guard.Track(trailer));
    guard.Start(100);
    ok = true;
    for (size_t at = 0; at < endless.size(); at += step) {
      ok = ok && guard.Track(std::string_view(endless).substr(at, step));
    }
    CHECK_FALSE(ok);
  }
}

TEST_CASE("a chunk size with too many digits is refused", "[chunk_size_guard_test]") {
  ChunkSizeGuard guard;
  guard.Start(100);
  CHECK_FALSE(guard.Track("ffffffffffffffff"));
}

TEST_CASE("bodies without chunks are not examined", "[chunk_size_guard_test]") {
  ChunkSizeGuard guard;
  CHECK(guard.Track(std::string(10'000, 'f')));
}

}  // namespace
}  // namespace jd
