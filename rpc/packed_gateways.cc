#include "rpc/packed_gateways.h"

#include <cstddef>
#include <cstdint>
#include <vector>

#include "rpc/frame.h"

namespace jd {
namespace {

constexpr size_t kHashBytes = sizeof(uint64_t);
constexpr int kByteBits = 8;

}  // namespace

std::string PackGateways(const std::vector<GatewayHash>& gateways) {
  std::string bytes;
  bytes.reserve(gateways.size() * kHashBytes);
  for (const GatewayHash gateway : gateways) {
    for (size_t i = 0; i < kHashBytes; ++i) {
      bytes.push_back(static_cast<char>(gateway.value >> (i * kByteBits)));
    }
  }
  return bytes;
}

std::vector<GatewayHash> UnpackGateways(const std::string& bytes) {
  if (bytes.size() % kHashBytes != 0 || bytes.size() / kHashBytes > GatewayView::kMaxGateways) {
    throw FrameError("a list of gateways has " + std::to_string(bytes.size()) + " bytes");
  }
  std::vector<GatewayHash> gateways;
  gateways.reserve(bytes.size() / kHashBytes);
  for (size_t at = 0; at < bytes.size(); at += kHashBytes) {
    uint64_t hash = 0;
    for (size_t i = 0; i < kHashBytes; ++i) {
      hash |= uint64_t{static_cast<unsigned char>(bytes[at + i])} << (i * kByteBits);
    }
    gateways.emplace_back(hash);
  }
  return gateways;
}

}  // namespace jd
