#pragma once

#include <cstdint>
#include <optional>

#include "common/units.h"
#include "common/vm_list.h"

namespace jd {

/// Registers this gateway in a table of the platform's store and reads the list of registered
/// gateways. The gateway writes its own row before it reads the list, so that of two gateways that
/// start at the same time at least one finds the other. A gateway announces itself to the gateways
/// that it finds.
class GatewayRegistry {
 public:
  enum class Call : uint8_t { kRead, kWrite };

  /// Delay between the write and the read of the list, within which other gateways that started at
  /// the same time have written their rows too.
  static constexpr Duration kReadDelay = 700ms;
  static constexpr Duration kRetryDelay = 1s;

  explicit GatewayRegistry(Vm self) : self_(std::move(self)) {}

  /// Returns the call to make now, if one is due. The caller must report its result with one of the
  /// three functions below.
  std::optional<Call> NextCall(MonoTime now);
  void OnGatewayList(MonoTime now, VmList gateways);
  void OnRowWritten(MonoTime now);
  void OnCallFailed(MonoTime now);
  /// Returns when NextCall is due.
  std::optional<MonoTime> next_timer() const;

  const Vm& self() const { return self_; }
  /// The gateways in the latest list read, including this one if it was listed.
  const VmList& gateways() const { return gateways_; }

 private:
  Vm self_;
  VmList gateways_;
  std::optional<MonoTime> due_ = MonoTime();
  Call next_call_ = Call::kWrite;
};

}  // namespace jd
