#include "net/response_memory.h"

namespace jd {

void ResponseMemory::Part::SetBytes(size_t bytes) {
  if (memory_ != nullptr) {
    memory_->used_bytes_ -= bytes_;
    memory_->used_bytes_ += bytes;
  }
  bytes_ = bytes;
}

bool ResponseMemory::Part::must_fail() const {
  return memory_ != nullptr && memory_->used_bytes_ > memory_->limit_bytes_ &&
         bytes_ > kSmallResponseBytes;
}

}  // namespace jd
