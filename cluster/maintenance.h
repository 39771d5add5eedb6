#pragma once

#include <cstdint>
#include <string>

#include "cluster/lease.h"
#include "cluster/table_call.h"
#include "common/ids.h"
#include "common/now.h"
#include "common/units.h"

namespace jd {

/// Deletes rows that the platform's table no longer needs: rows of the configuration log that a
/// snapshot covers, and expired claims of request keys. Only the gateway that holds the maintenance
/// lease does so. It reads and deletes one page at a time, so that the few hundred writes per
/// second that the table can take remain available for traffic.
class Maintenance {
 public:
  static constexpr Duration kPageInterval = 1s;
  static constexpr uint32_t kPageSize = 100;  ///< Rows read at a time.
  /// Number of log rows before the snapshot that are kept for rollback and history.
  static constexpr uint64_t kKeptLogEntries = 1024;
  /// Time for which a request key is guaranteed to be remembered.
  static constexpr Duration kClaimLifetime = std::chrono::hours(24);

  explicit Maintenance(GatewayId self);

  void OnTimer(Now now, TableCalls* calls);
  void OnTableReply(Now now, uint64_t token, const TableReply& reply, TableCalls* calls);

  MonoTime next_timer() const;
  const Lease& lease() const { return lease_; }

 private:
  /// The table call whose reply is awaited.
  enum class Step : uint8_t { kIdle, kSnapshot, kLog, kClaims, kDelete };

  /// Starts to read the next page, of the log and of the claims in turn.
  void ReadPage(TableCalls* calls);
  /// Deletes the expired rows of the page that was read.
  void DeleteExpiredRows(Now now, const TableReply& reply, TableCalls* calls);
  bool IsExpired(Now now, const TableRow& row) const;
  void StartCall(Step step, TableRequest request, TableCalls* calls);

  /// Greater than any token of the lease, so that replies to calls of the lease can be told apart.
  static constexpr uint64_t kFirstToken = uint64_t{1} << 32;

  Lease lease_;
  uint64_t next_token_ = kFirstToken;
  uint64_t pending_token_ = 0;  ///< Of the latest table call; replies to earlier ones are ignored.
  Step step_ = Step::kIdle;
  bool page_is_log_ = true;            ///< The latest page was of the log, not of the claims.
  ConfigVersion oldest_kept_version_;  ///< Log rows below this version are deleted.
  std::string claims_cursor_;          ///< The next page of claims starts after this key.
  MonoTime next_page_;
  MonoTime page_started_;  ///< When the read of the latest page started.
};

}  // namespace jd
