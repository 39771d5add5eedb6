#include "net/request_memory.h"

#include <algorithm>

namespace jd {

RequestMemory::Part::Part(RequestMemory* memory) : memory_(memory) {
  memory_->parts_.insert(this);
}

RequestMemory::Part::~Part() {
  Set({});
  memory_->parts_.erase(this);
}

void RequestMemory::Part::Set(const Usage& usage) {
  memory_->used_bytes_ -= usage_.total();
  memory_->used_bytes_ += usage.total();
  usage_ = usage;
}

const RequestMemory::Part* RequestMemory::RequestToRefuse() const {
  if (used_bytes_ <= limit_bytes_ || parts_.empty()) {
    return nullptr;
  }
  const Part* largest = *std::max_element(
      parts_.begin(), parts_.end(),
      [](const Part* a, const Part* b) { return a->usage().incomplete < b->usage().incomplete; });
  const size_t spared = above_upper_limit() ? 0 : kSmallRequestBytes;
  return largest->usage().incomplete > spared ? largest : nullptr;
}

const RequestMemory::Part* RequestMemory::ConnectionToClose() const {
  if (!above_upper_limit() || RequestToRefuse() != nullptr) {
    return nullptr;
  }
  const Part* largest = *std::max_element(
      parts_.begin(), parts_.end(),
      [](const Part* a, const Part* b) { return a->usage().unwritten < b->usage().unwritten; });
  // Smaller answers may be on their way to a caller that reads; the write timeout bounds them.
  return largest->usage().unwritten > kSmallRequestBytes ? largest : nullptr;
}

}  // namespace jd
