#include "rpc/frame.h"

#include <cstdint>

#include "rpc/compact_codec.h"

namespace jd {
namespace {

constexpr size_t kHeaderBytes = 4;

uint32_t DecodeLength(const char* data) {
  uint32_t length = 0;
  for (size_t i = 0; i < kHeaderBytes; ++i) {
    length = length << 8 | static_cast<uint8_t>(data[i]);
  }
  return length;
}

}  // namespace

std::string EncodeFrame(const wire::Envelope& envelope) {
  const std::string body = EncodeCompact(envelope);
  std::string frame;
  frame.reserve(kHeaderBytes + body.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>(body.size() >> shift & 0xff));
  }
  frame.append(body);
  return frame;
}

std::optional<wire::Envelope> FrameReader::NextEnvelope() {
  const size_t available = buffer_.size() - consumed_;
  if (available < kHeaderBytes) {
    return std::nullopt;
  }
  const uint32_t length = DecodeLength(buffer_.data() + consumed_);
  if (length > kMaxFrameBytes) {
    throw FrameError("frame of " + std::to_string(length) + " bytes is too long");
  }
  if (available < kHeaderBytes + length) {
    return std::nullopt;
  }
  wire::Envelope envelope =
      DecodeCompact<wire::Envelope>(buffer_.data() + consumed_ + kHeaderBytes, length);
  consumed_ += kHeaderBytes + length;
  if (consumed_ == buffer_.size()) {
    buffer_.clear();
    consumed_ = 0;
  } else if (consumed_ > buffer_.size() / 2) {
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
  return envelope;
}

}  // namespace jd
