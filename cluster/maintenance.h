#pragma once

#include <cstdint>
#include <string>

#include "cluster/lease.h"
#include "cluster/table_call.h"
#include "common/ids.h"
#include "common/now.h"
#include "common/units.h"

namespace jd {

/// Deletes what the table no longer needs, by one gateway under a lease: log rows that a snapshot
/// covers, and request keys that have expired. One page is read and deleted at a time, so that the
/// table's few hundred writes per second stay free for traffic.
class Maintenance {
 public:
  static constexpr Duration kPageEvery = 1s;
  static constexpr uint32_t kPage = 100;
  /// Log rows kept below the snapshot, for rollback and history.
  static constexpr uint64_t kKeptEntries = 1024;
  /// The guarantee of a request key.
  static constexpr Duration kClaimLasts = std::chrono::hours(24);

  explicit Maintenance(GatewayId self);

  void OnTimer(Now now, TableCalls* calls);
  void OnTableReply(Now now, uint64_t token, const TableReply& reply, TableCalls* calls);

  MonoTime next_timer() const;
  const Lease& lease() const { return lease_; }

 private:
  enum class Step : uint8_t { kIdle, kSnapshot, kLog, kClaims, kDelete };

  void ReadPage(TableCalls* calls);
  void Trim(Now now, const TableReply& reply, TableCalls* calls);
  bool IsExpired(Now now, const TableRow& row) const;
  void Call(Step step, TableRequest request, TableCalls* calls);

  static constexpr uint64_t kFirstToken = uint64_t{1} << 32;  ///< Above the lease's tokens.

  Lease lease_;
  uint64_t next_token_ = kFirstToken;
  uint64_t token_ = 0;
  Step step_ = Step::kIdle;
  bool log_turn_ = true;
  ConfigVersion keep_from_;  ///< Log rows below this version may go.
  std::string after_claim_;  ///< Where the next page of claims starts.
  MonoTime next_page_;
  MonoTime called_;
};

}  // namespace jd
