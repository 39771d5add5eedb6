#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/table_rows.h"
#include "common/ids.h"
#include "common/random.h"
#include "common/units.h"

namespace jd {

/// A state of the store: versions can only be compared within one era.
struct TablePosition {
  StoreEra era;  ///< 0 if the store does not name its era.
  uint64_t version = 0;
  auto operator<=>(const TablePosition&) const = default;
};

/// A call to the store that reads a table or its latest changes.
struct WatchCall {
  /// True: read all rows with keys from `from` on. False: read the changes since `after`.
  bool full_read = false;
  std::string from;    ///< Smallest key to read.
  uint64_t after = 0;  ///< Version of the store after which changes are read.
  Duration wait{0};    ///< How long the store waits for a change before an empty reply.
  Duration timeout{0};
};

enum class WatchStatus : uint8_t {
  kDone,
  kHistoryLost,  ///< The store no longer keeps the changes since WatchCall::after.
  kFailed,       ///< The store did not reply, or replied that it cannot serve the call now.
};

/// The reply to a WatchCall.
struct WatchReply {
  WatchStatus status = WatchStatus::kFailed;
  std::vector<WatchedRow> rows;
  bool has_more = false;  ///< A full read has further pages.
  uint64_t version = 0;   ///< Newest version in the store.
  /// The history of the store that the versions belong to; absent if the store does not name it.
  std::optional<StoreEra> era = {};
  std::string unreadable_era;  ///< The name of an era that cannot be read; empty if there is none.
};

/// The result of one gateway's read of a table, sent to other gateways so that they need not read
/// the table themselves.
struct TableUpdate {
  std::string table;
  TablePosition after;           ///< State of the store before the changes in `rows`.
  TablePosition position;        ///< Newest state of the store that `rows` covers.
  std::vector<WatchedRow> rows;  ///< Rows whose content changed.
  /// Keys of rows that disappeared during an outage and may be written again.
  std::vector<std::string> missing;
  /// `rows` are the differences between the known rows and all rows of the table; they apply only
  /// to the rows known at `after`.
  bool from_full_read = false;
  bool failed = false;  ///< The call to the store failed, so nothing was read.
  /// `rows` are all rows of the table rather than changes, for a gateway that has just started.
  bool snapshot = false;
  /// The sender of a snapshot cannot reach the store now, so the rows may be outdated.
  bool unconfirmed = false;
  /// The receiver is asked to pass the update on to the gateways of its zone.
  bool relay = false;
  GatewayId reader;    ///< The gateway that read the table; empty for a snapshot.
  ZoneId reader_zone;  ///< Zone of `reader`.
};

/// Follows one table of the platform's store: reads the full table, then polls for changes, and
/// repeats the full read when the store no longer keeps the changes since the last version read.
///
/// A store that is restored from a copy has lost changes that it had confirmed, and counts versions
/// from an earlier one again. It then names another era, or does not have the version after which
/// changes are asked for. The table is read in full, and its content is taken whatever the versions
/// of the known rows. What other gateways tell about an earlier era is ignored.
///
/// The gateways share their reads without electing a reader. A gateway that receives an
/// update from another gateway postpones its own next call, so that one gateway reads for all. When
/// that gateway stops, the first gateway whose takeover delay expires becomes the reader. The new
/// reader's first call does not wait for a change, so that its result reaches the others before
/// they take over as well. Gateways that cannot reach the store notify each other of failed calls
/// and take turns retrying.
///
/// A gateway that starts takes the table from a peer's snapshot instead of a full read if it gets
/// one before its first read is due.
class TableWatch {
 public:
  static constexpr Duration kMissingRowGrace = TableRows::kMissingRowGrace;
  /// Delay before the retry of a failed call; doubled after each further failure up to
  /// kMaxRetryDelay.
  static constexpr Duration kMinRetryDelay = 300ms;
  static constexpr Duration kMaxRetryDelay = 1s;
  /// Maximum delay between the calls of a gateway while the calls of other gateways fail too.
  static constexpr Duration kMaxSharedRetryDelay = 1200ms;
  /// A read that many gateways have a reason to make at the same moment is delayed by a random time
  /// up to this, so that the update of the first one spares the others the read.
  static constexpr Duration kMaxReadSpread = 200ms;

  struct Timing {
    Duration interval{0};  ///< Minimum time between the starts of two calls.
    /// How long a call waits for a change. `interval` plus `wait` must be less than
    /// `min_takeover_delay`.
    Duration wait{0};
    /// After an update from another gateway no call is made for a random time in this range.
    Duration min_takeover_delay{0};
    Duration max_takeover_delay{0};
    /// How long a row that had been removed, and is back because the store was restored, is not
    /// used; 0 if it is used at once. See TableRows.
    Duration recalled_row_hold{0};
  };

  TableWatch(Timing timing, uint64_t seed)
      : timing_(timing), random_(seed), rows_(timing.recalled_row_hold) {}

  /// Returns the call to make now, if one is due. The caller must pass its result to OnReply.
  std::optional<WatchCall> NextCall(MonoTime now);
  /// Updates the rows and the schedule from the reply to the call in progress.
  /// @return the rows that changed. The rows of a full read are returned after its last page.
  std::vector<WatchedRow> OnReply(MonoTime now, const WatchReply& reply);
  /// Updates the rows and the schedule from an update sent by another gateway.
  /// @return the rows that changed.
  std::vector<WatchedRow> OnPeerUpdate(MonoTime now, const TableUpdate& update);
  /// Sets when the first read starts, unless a snapshot arrives before. Has no effect once a read
  /// has started or the table is known.
  void ScheduleFirstRead(MonoTime at);
  /// Returns all known rows, for a gateway that has just started. Must not be called before the
  /// table is complete.
  TableUpdate Snapshot(const std::string& table) const;
  /// Makes no calls while `other` cannot reach the store. The retries of `other` detect when the
  /// store is reachable again.
  void PauseWhileUnavailable(const TableWatch* other) { availability_source_ = other; }
  /// Returns the update to send to other gateways after a read.
  /// @param after position() before the read.
  /// @param rows rows whose content changed. Rows of a large total size are left out, and the other
  /// gateways read them from the store themselves.
  TableUpdate UpdateForPeers(const std::string& table,
                             const TablePosition& after,
                             const std::vector<WatchedRow>& rows) const;
  /// Returns the update to send to other gateways after a failed call.
  TableUpdate FailureUpdate(const std::string& table) const;
  /// Removes the missing rows whose grace period has passed, and releases the recalled rows whose
  /// hold has passed.
  /// @return the rows that changed.
  std::vector<WatchedRow> ApplyDueRows(MonoTime now);
  /// Returns when NextCall or ApplyDueRows is due.
  std::optional<MonoTime> next_timer() const;

  /// Newest state of the store that the known rows cover.
  const TablePosition& position() const { return position_; }
  /// Number of rows that were ignored because their version is not above the known one, although
  /// their content differs.
  uint64_t ignored_rows() const { return rows_.ignored(); }
  /// Whether the latest reply finished a read, so that position() is what this gateway has read. If
  /// not, other gateways must not be told that they need not read.
  bool read_finished() const { return read_finished_; }
  /// Whether all rows of the table are known, from a full read or a snapshot.
  bool complete() const { return complete_; }
  /// Whether a full read is due or in progress; position() does not advance until it finishes.
  bool full_read_pending() const { return full_read_pending_; }
  /// Whether rows are missing that a peer may have, which this gateway must ask for if it cannot
  /// read them from the store.
  bool lacks_rows() const { return !complete_ || full_read_pending_ || position_ < told_position_; }
  /// Whether the store is unreachable now, after a full read had succeeded.
  bool store_unavailable() const { return complete_ && !connected_; }
  /// Keys of rows that disappeared during an outage and may be written again.
  std::vector<std::string> missing() const { return rows_.missing(); }

 private:
  /// Whether the versions in a reply cannot be compared with those of the call.
  bool HistoryChanged(const WatchReply& reply) const;
  void StartFullRead(MonoTime at);
  /// Whether the known rows and those of an update make the state that the update has.
  bool IsApplicable(const TableUpdate& update) const;
  /// Reads the store soon because an update shows that changes were missed.
  void ScheduleMissedRead(MonoTime now, const TableUpdate& update);
  void AddPage(MonoTime now, const WatchReply& reply, std::vector<WatchedRow>* changes);
  /// Takes the content of the whole table.
  void ReplaceRows(MonoTime now,
                   const std::map<std::string, WatchedRow>& rows,
                   const TablePosition& position,
                   std::vector<WatchedRow>* changes);
  void OnStoreReachable(MonoTime now);
  void OnCallFailed(MonoTime now);
  void OnPeerCallFailed(MonoTime now);
  std::vector<WatchedRow> AdoptSnapshot(MonoTime now, const TableUpdate& snapshot);
  bool paused() const {
    return availability_source_ != nullptr && availability_source_->store_unavailable();
  }
  Duration RandomDelay(Duration min, Duration max);

  const TableWatch* availability_source_ = nullptr;
  Timing timing_;
  RandomEngine random_;
  bool was_paused_ = false;  ///< PauseWhileUnavailable kept the previous NextCall from a call.
  TableRows rows_;
  TablePosition position_;
  TablePosition told_position_;  ///< Newest position in the updates of other gateways.
  std::map<std::string, WatchedRow> page_rows_;  ///< Rows of the full read in progress.
  std::string next_page_key_;
  TablePosition first_page_position_;
  bool full_read_pending_ = true;
  bool complete_ = false;
  bool connected_ = false;
  /// Whether the latest read of the table was made by this gateway rather than by a peer.
  bool is_reader_ = false;
  bool call_pending_ = false;
  bool read_finished_ = false;
  bool call_reads_all_ = false;  ///< The latest call is part of a full read.
  StoreEra call_era_;            ///< Era of position() when the call in progress started.
  Duration retry_delay_ = kMinRetryDelay;
  MonoTime call_started_;  ///< When the latest call started.
  MonoTime due_;           ///< Earliest start of the next call.
};

}  // namespace jd
