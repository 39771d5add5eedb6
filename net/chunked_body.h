#pragma once

#include <cstddef>

namespace jd {

/// Number of bytes that the last element of a chunked body has at least: "0" and two line ends. The
/// parser of Boost.Beast aborts the process if it gets fewer of them, so it is not called before.
inline constexpr size_t kMinChunkedBytes = 5;

}  // namespace jd
