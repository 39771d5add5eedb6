#include "gateway/chunk_size_guard.h"

#include <algorithm>
#include <cctype>

namespace jd {
namespace {

// No limit on bodies is as large as this, so a larger size is invalid.
constexpr uint64_t kMaxChunkBytes = 1ULL << 48;

uint64_t HexDigitValue(char c) {
  if (c >= '0' && c <= '9') {
    return static_cast<uint64_t>(c - '0');
  }
  return static_cast<uint64_t>(std::tolower(static_cast<unsigned char>(c)) - 'a') + 10;
}

}  // namespace

void ChunkSizeGuard::Start(size_t max_line_bytes) {
  state_ = State::kSizeLine;
  max_line_bytes_ = max_line_bytes;
  line_bytes_ = 0;
  size_complete_ = false;
  size_ = 0;
}

bool ChunkSizeGuard::Track(std::string_view bytes) {
  while (!bytes.empty() && state_ != State::kInactive) {
    if (state_ == State::kData) {
      const uint64_t skipped = std::min<uint64_t>(size_, bytes.size());
      bytes.remove_prefix(skipped);
      size_ -= skipped;
      if (size_ == 0) {
        Start(max_line_bytes_);
      }
      continue;
    }
    if (!TrackSizeLineByte(bytes.front())) {
      return false;
    }
    bytes.remove_prefix(1);
  }
  return true;
}

bool ChunkSizeGuard::TrackSizeLineByte(char c) {
  if (c == '\n') {
    EndSizeLine();
    return true;
  }
  if (c == '\r') {
    return true;
  }
  if (++line_bytes_ > max_line_bytes_) {
    return false;
  }
  size_complete_ = size_complete_ || std::isxdigit(static_cast<unsigned char>(c)) == 0;
  if (!size_complete_) {
    size_ = size_ * 16 + HexDigitValue(c);
  }
  return size_ <= kMaxChunkBytes;
}

void ChunkSizeGuard::EndSizeLine() {
  // The line end after the data of a chunk comes before the next size line.
  if (line_bytes_ > 0) {
    state_ = size_ == 0 ? State::kInactive : State::kData;
  }
}

}  // namespace jd
