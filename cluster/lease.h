#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/table_call.h"
#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// A lease on a task that only one gateway may perform at a time. It is stored in one table row
/// with the fields `holder`, `fencing` and `nonce`. Clocks of different machines are never
/// compared: the holder measures the lease from the time at which it sent the renewing write, and
/// another gateway takes over after it has seen the row unchanged for longer than the lease
/// duration. Every write under the lease must carry check(), so that a write that was delayed by a
/// pause of the process fails if another gateway has taken over.
class Lease {
 public:
  static constexpr Duration kLeaseDuration = 10s;
  static constexpr Duration kRenewInterval = 3s;
  /// Fraction of the lease duration that allows for clocks that run at different rates. The holder
  /// ends its lease earlier by this fraction, and others take over later by it.
  static constexpr double kClockRateMargin = 0.1;

  /// @param first_token token of the first call, incremented for each call.
  Lease(std::string name, GatewayId self, uint64_t first_token);

  void OnTimer(MonoTime now, TableCalls* calls);
  void OnTableReply(MonoTime now, uint64_t token, const TableReply& reply, TableCalls* calls);

  MonoTime next_timer() const { return next_timer_; }
  /// Whether this gateway holds the lease and may start a write under it now.
  bool held(MonoTime now) const { return held_until_ && now < *held_until_ && row_version_ != 0; }
  /// The check that must be part of each write transaction under the lease.
  TableCheck check() const { return {key_, row_version_}; }
  /// The fencing token, which increases with each acquisition of the lease.
  uint64_t fencing() const { return fencing_; }

 private:
  enum class Step : uint8_t { kIdle, kRead, kWrite, kConfirm };

  void OnLeaseRow(MonoTime now, const TableReply& reply, TableCalls* calls);
  void OnConfirm(const TableReply& reply);
  void Write(MonoTime now, uint64_t row_version, uint64_t fencing, TableCalls* calls);
  void SendCall(Step step, TableRequest request, TableCalls* calls);

  std::string key_;
  GatewayId self_;
  uint64_t next_token_;
  uint64_t token_ = 0;
  Step step_ = Step::kIdle;
  MonoTime next_timer_;
  std::optional<MonoTime> held_until_;
  uint64_t row_version_ = 0;  ///< Version of the lease row as last written by this gateway.
  uint64_t fencing_ = 0;
  uint64_t seen_version_ = 0;  ///< Version of the lease row as last read while not holding it.
  MonoTime seen_since_;        ///< When that version was read first.
  MonoTime write_sent_;        ///< When the latest write was sent.
  std::string nonce_;          ///< Nonce of the latest write.
  uint64_t writes_ = 0;
  uint64_t pending_fencing_ = 0;
};

}  // namespace jd
