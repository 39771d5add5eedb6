#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>
#include <string>

#include "rpc/frame.h"

namespace jd {

// Limits on lengths in an encoded struct, so that few bytes cannot make the decoder allocate much
// memory.
inline constexpr int32_t kMaxStringBytes = 8 * 1024 * 1024;
inline constexpr int32_t kMaxContainerItems = 100'000;

/// Encodes a struct of the Thrift definitions in the compact protocol.
template <typename Struct>
std::string EncodeCompact(const Struct& value) {
  using apache::thrift::transport::TMemoryBuffer;
  auto transport = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(transport);
  value.write(&protocol);
  uint8_t* data = nullptr;
  uint32_t size = 0;
  transport->getBuffer(&data, &size);
  return std::string(reinterpret_cast<const char*>(data), size);
}

/// Decodes what EncodeCompact has encoded.
/// @throws FrameError if the bytes are not an encoded struct of this type.
template <typename Struct>
Struct DecodeCompact(const char* data, size_t size) {
  using apache::thrift::transport::TMemoryBuffer;
  // The buffer does not modify the bytes, but Thrift's interface takes a non-const pointer.
  auto transport =
      std::make_shared<TMemoryBuffer>(reinterpret_cast<uint8_t*>(const_cast<char*>(data)),
                                      static_cast<uint32_t>(size), TMemoryBuffer::OBSERVE);
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(transport, kMaxStringBytes,
                                                                      kMaxContainerItems);
  Struct value;
  try {
    value.read(&protocol);
  } catch (const std::exception& error) {
    throw FrameError(std::string("malformed frame: ") + error.what());
  }
  return value;
}

}  // namespace jd
