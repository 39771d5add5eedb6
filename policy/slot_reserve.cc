#include "policy/slot_reserve.h"

#include <xxhash.h>

#include <string>

namespace jd {

std::vector<size_t> AssignReserve(const std::vector<GatewayId>& roster,
                                  const EndpointId& endpoint,
                                  int32_t slots) {
  std::vector<size_t> assigned;
  if (roster.empty()) {
    return assigned;
  }
  for (int32_t slot = 0; slot < slots; ++slot) {
    const std::string key = endpoint.value + "#" + std::to_string(slot);
    size_t best = 0;
    XXH64_hash_t best_weight = 0;
    for (size_t i = 0; i < roster.size(); ++i) {
      const std::string& gateway = roster[i].value;
      const XXH64_hash_t seed = XXH64(gateway.data(), gateway.size(), 0);
      const XXH64_hash_t weight = XXH64(key.data(), key.size(), seed);
      if (i == 0 || weight > best_weight) {
        best = i;
        best_weight = weight;
      }
    }
    assigned.push_back(best);
  }
  return assigned;
}

}  // namespace jd
