#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cluster/table_call.h"
#include "common/ids.h"
#include "common/units.h"

namespace jd {

/// A lease on a duty that one gateway does at a time, kept in one row {holder, fencing, nonce}.
/// No clock is compared between machines: the holder counts from the sending of the write that
/// renewed the row, and others take over once they saw the row unchanged for longer than a lease
/// lasts. Every write under the lease carries check(), so that one that was delayed by a pause
/// fails once another gateway has taken over.
class Lease {
 public:
  static constexpr Duration kLasts = 10s;
  static constexpr Duration kRenewEvery = 3s;
  /// Covers the difference in rate of two clocks.
  static constexpr double kMargin = 0.1;

  /// @param first_token tokens count up from here.
  Lease(std::string name, GatewayId self, uint64_t first_token);

  void OnTimer(MonoTime now, TableCalls* calls);
  void OnTableReply(MonoTime now, uint64_t token, const TableReply& reply, TableCalls* calls);

  MonoTime next_timer() const { return next_timer_; }
  /// Whether this gateway may begin a write under the lease now.
  bool held(MonoTime now) const { return held_until_ && now < *held_until_ && row_ != 0; }
  /// The check that each write under the lease carries.
  TableCheck check() const { return {key_, row_}; }
  /// Rises with each change of holder.
  uint64_t fencing() const { return fencing_; }

 private:
  enum class Step : uint8_t { kIdle, kRead, kWrite, kConfirm };

  void OnRow(MonoTime now, const TableReply& reply, TableCalls* calls);
  void OnConfirm(const TableReply& reply);
  void Write(MonoTime now, uint64_t row, uint64_t fencing, TableCalls* calls);
  void Call(Step step, TableRequest request, TableCalls* calls);

  std::string key_;
  GatewayId self_;
  uint64_t next_token_;
  uint64_t token_ = 0;
  Step step_ = Step::kIdle;
  MonoTime next_timer_;
  std::optional<MonoTime> held_until_;
  uint64_t row_ = 0;  ///< Version of the row that this gateway wrote.
  uint64_t fencing_ = 0;
  uint64_t seen_row_ = 0;  ///< Version of the row as read last.
  MonoTime seen_since_;    ///< When that version was read first.
  MonoTime sent_;          ///< When the latest write was sent.
  std::string nonce_;      ///< Of the latest write.
  uint64_t writes_ = 0;
  uint64_t wanted_fencing_ = 0;
};

}  // namespace jd
