#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace jd {

/// Follows the chunks of a request body and detects a size line that is too long. evhttp buffers
/// such a line without a limit.
class ChunkSizeGuard {
 public:
  /// Starts with the first size line of a body.
  /// @param max_line_bytes limit on a size line with its extensions.
  void Start(size_t max_line_bytes);
  /// Handles the next bytes of the body. Has no effect before Start and after the last chunk.
  /// @return false if a size line exceeds the limit or its size is too large to be valid.
  bool Track(std::string_view bytes);

 private:
  enum class State : uint8_t { kInactive, kSizeLine, kData };

  bool TrackSizeLineByte(char c);
  void EndSizeLine();

  State state_ = State::kInactive;
  size_t max_line_bytes_ = 0;
  size_t line_bytes_ = 0;
  bool size_complete_ = false;  ///< The digits of the size have ended.
  uint64_t size_ = 0;           ///< Size from the line, or what is left of the chunk.
};

}  // namespace jd
