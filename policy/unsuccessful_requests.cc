#include "policy/unsuccessful_requests.h"

#include <xxhash.h>

#include <algorithm>

namespace jd {
namespace {

uint64_t HashOf(const RequestId& request) {
  return XXH64(request.value.data(), request.value.size(), 0);
}

}  // namespace

void UnsuccessfulRequests::Add(const RequestId& request) {
  if (!request.empty()) {
    hashes_.push_back(HashOf(request));
  }
}

bool UnsuccessfulRequests::Contains(const RequestId& request) const {
  return !hashes_.empty() && !request.empty() &&
         std::find(hashes_.begin(), hashes_.end(), HashOf(request)) != hashes_.end();
}

}  // namespace jd
