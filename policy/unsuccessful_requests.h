#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "common/ids.h"

namespace jd {

/// The requests that one connection to an upstream has carried without success.
///
/// Each of them may be sent again, under the same id. An upstream that sends a response twice may
/// do so at any later time, and the second copy cannot be told from the response to another attempt
/// of the request on the same connection. Such an attempt therefore uses another connection.
class UnsuccessfulRequests {
 public:
  /// A connection with this many unsuccessful requests is closed, so that none is forgotten.
  static constexpr size_t kMaxRequests = 256;

  /// Adds a request; one without an id is ignored.
  void Add(const RequestId& request);
  /// Returns whether the connection has carried the request without success. Two ids are confused
  /// with a probability of 2^-64.
  bool Contains(const RequestId& request) const;
  bool full() const { return hashes_.size() >= kMaxRequests; }

 private:
  std::vector<uint64_t> hashes_;  ///< Of the request ids.
};

}  // namespace jd
