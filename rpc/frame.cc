#include "rpc/frame.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>

namespace jd {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr size_t kHeaderBytes = 4;
// Limits on lengths in a frame, so that a small frame cannot make the decoder allocate much memory.
constexpr int32_t kMaxStringBytes = 8 * 1024 * 1024;
constexpr int32_t kMaxContainerItems = 100'000;

uint32_t DecodeLength(const char* data) {
  uint32_t length = 0;
  for (size_t i = 0; i < kHeaderBytes; ++i) {
    length = length << 8 | static_cast<uint8_t>(data[i]);
  }
  return length;
}

wire::Envelope DecodeEnvelope(const char* data, uint32_t size) {
  // The buffer does not modify the bytes, but Thrift's interface takes a non-const pointer.
  auto transport = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<uint8_t*>(const_cast<char*>(data)), size, TMemoryBuffer::OBSERVE);
  TCompactProtocolT<TMemoryBuffer> protocol(transport, kMaxStringBytes, kMaxContainerItems);
  wire::Envelope envelope;
  try {
    envelope.read(&protocol);
  } catch (const std::exception& error) {
    throw FrameError(std::string("malformed frame: ") + error.what());
  }
  return envelope;
}

}  // namespace

std::string EncodeFrame(const wire::Envelope& envelope) {
  auto transport = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(transport);
  envelope.write(&protocol);
  uint8_t* data = nullptr;
  uint32_t size = 0;
  transport->getBuffer(&data, &size);
  std::string frame;
  frame.reserve(kHeaderBytes + size);
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>(size >> shift & 0xff));
  }
  frame.append(reinterpret_cast<const char*>(data), size);
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
  wire::Envelope envelope = DecodeEnvelope(buffer_.data() + consumed_ + kHeaderBytes, length);
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
