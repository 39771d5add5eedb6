#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>

#include "jackdawdeck_types.h"

namespace jd {

/// Thrown when bytes from a connection are not a valid frame; the connection must be closed.
class FrameError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Largest accepted frame, without its length field. Longer frames are rejected when their length
/// has been read, before memory is allocated for them.
inline constexpr size_t kMaxFrameBytes = 16 * 1024 * 1024;

/// Encodes an envelope in Thrift's framed transport format: the length in four bytes, most
/// significant byte first, followed by the envelope in the compact protocol.
std::string EncodeFrame(const wire::Envelope& envelope);

/// Decodes a stream of bytes into envelopes.
class FrameReader {
 public:
  /// Adds received bytes; they need not end at a frame boundary.
  void Append(const char* data, size_t size) { buffer_.append(data, size); }

  /// Removes the next complete envelope from the buffer and returns it.
  /// @return the envelope, or nothing if more bytes are needed.
  /// @throws FrameError if the bytes are not a valid frame.
  std::optional<wire::Envelope> NextEnvelope();

 private:
  std::string buffer_;
  size_t consumed_ = 0;  ///< Bytes at the start of the buffer that have been decoded.
};

}  // namespace jd
