#pragma once

#include <cstddef>

namespace jd {

/// Limits the memory of the incomplete responses of all connections together, so that servers that
/// send without end cannot exhaust the memory of the process. When the limit is reached, large
/// responses fail; small ones are still read.
class ResponseMemory {
 public:
  /// Responses of up to this size do not fail because of the limit.
  static constexpr size_t kSmallResponseBytes = 64 * 1024;

  /// @param limit_bytes limit on the bytes of all incomplete responses.
  explicit ResponseMemory(size_t limit_bytes) : limit_bytes_(limit_bytes) {}
  ResponseMemory(const ResponseMemory&) = delete;
  ResponseMemory& operator=(const ResponseMemory&) = delete;

  size_t used_bytes() const { return used_bytes_; }

  /// The part of one connection, which is given back when this object is destroyed.
  class Part {
   public:
    /// @param memory must outlive this object; may be null for no limit.
    explicit Part(ResponseMemory* memory) : memory_(memory) {}
    ~Part() { SetBytes(0); }
    Part(const Part&) = delete;
    Part& operator=(const Part&) = delete;

    /// Sets the bytes that the incomplete response of the connection takes.
    void SetBytes(size_t bytes);
    /// Returns whether the response must fail: the limit is exceeded and this part is large.
    bool must_fail() const;

   private:
    ResponseMemory* memory_;
    size_t bytes_ = 0;
  };

 private:
  size_t limit_bytes_;
  size_t used_bytes_ = 0;
};

}  // namespace jd
