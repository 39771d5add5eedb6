#pragma once

#include <cstdint>

namespace jd {

// Thrift has no unsigned integers.

inline int64_t ToSigned(uint64_t value) {
  return static_cast<int64_t>(value);
}

inline uint64_t ToUnsigned(int64_t value) {
  return static_cast<uint64_t>(value);
}

}  // namespace jd
