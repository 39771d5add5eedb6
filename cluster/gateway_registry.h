#pragma once

#include <cstdint>
#include <optional>

#include "common/units.h"
#include "common/vm_list.h"

namespace jd {

/// Lists this gateway in a table of the platform's store and reads who else is there. The row is
/// written before the list is read, so of two gateways that start together at least one finds the
/// other; it announces itself to those that it finds.
class GatewayRegistry {
 public:
  enum class Call : uint8_t { kRead, kWrite };

  /// Time in which gateways that start together have written their rows.
  static constexpr Duration kSettle = 700ms;
  static constexpr Duration kRetryAfter = 1s;

  explicit GatewayRegistry(Vm self) : self_(std::move(self)) {}

  /// Returns the call to make now, if one is due; it is answered by one of the functions below.
  std::optional<Call> Next(MonoTime now);
  void OnList(MonoTime now, VmList gateways);
  void OnWritten(MonoTime now);
  void OnFailure(MonoTime now);
  /// Returns when Next is due.
  std::optional<MonoTime> next_timer() const;

  const Vm& self() const { return self_; }
  /// The gateways as listed, this one included once it has been read.
  const VmList& gateways() const { return gateways_; }

 private:
  Vm self_;
  VmList gateways_;
  std::optional<MonoTime> due_ = MonoTime();
  Call next_ = Call::kWrite;
};

}  // namespace jd
