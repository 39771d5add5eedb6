#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/units.h"

namespace jd {

/// A row of a watched table.
struct WatchedRow {
  std::string key;
  std::string value;
  uint64_t version = 0;
  bool deleted = false;
};

/// A call that follows a table.
struct WatchCall {
  bool whole = false;  ///< Read the rows from `from` on; otherwise the changes since `after`.
  std::string from;    ///< Least key.
  uint64_t after = 0;  ///< Version.
  Duration wait{0};    ///< For a change, before an empty answer.
  Duration timeout{0};
};

enum class WatchStatus : uint8_t {
  kDone,
  kHistoryLost,  ///< The changes since `after` are not kept any more.
  kFailed,       ///< No answer, or an answer that the store cannot serve now.
};

/// The answer to a WatchCall.
struct WatchReply {
  WatchStatus status = WatchStatus::kFailed;
  std::vector<WatchedRow> rows;
  bool has_more = false;  ///< Of a whole read.
  uint64_t version = 0;   ///< Newest of the store.
};

/// What one gateway read of a table, told to others so that they need not read it.
struct TableNews {
  std::string table;
  uint64_t after = 0;            ///< Version that the rows follow on.
  uint64_t version = 0;          ///< Newest version that they cover.
  std::vector<WatchedRow> rows;  ///< Those that changed in substance.
};

/// Follows one table of the platform's store: reads it whole, then asks for changes, and reads it
/// whole again when the history was lost.
///
/// Rows that expired while the store was away come back shortly after its return. A row that
/// vanished across an outage is therefore reported as deleted only if it stays away for
/// kReturnTime.
///
/// A gateway that is told what another one read postpones its own next call. Of several gateways
/// that tell each other, one therefore reads for all, and when it stops, the first one whose
/// patience ends takes over; nothing has to be agreed.
class TableWatch {
 public:
  static constexpr Duration kReturnTime = 2500ms;
  /// Between calls after a failure.
  static constexpr Duration kRetryAfter = 300ms;

  struct Pace {
    Duration interval{0};  ///< Least time between the starts of two calls.
    Duration wait{0};      ///< For a change, in one call.
    /// Time after news in which no own call is made, drawn from this range.
    Duration least_patience{0};
    Duration greatest_patience{0};
  };

  TableWatch(Pace pace, uint64_t seed) : pace_(pace), random_(seed) {}

  /// Returns the call to make now, if one is due; it is answered by OnReply.
  std::optional<WatchCall> Next(MonoTime now);
  /// Takes in an answer. @return the rows that changed.
  std::vector<WatchedRow> OnReply(MonoTime now, const WatchReply& reply);
  /// Takes in what another gateway read. @return the rows that changed.
  std::vector<WatchedRow> OnNews(MonoTime now, const TableNews& news);
  /// Returns the rows whose time to come back has passed, as deleted.
  std::vector<WatchedRow> TakeExpired(MonoTime now);
  /// Returns when Next or TakeExpired is due.
  std::optional<MonoTime> next_timer() const;

  /// Newest version that was taken in.
  uint64_t version() const { return after_; }
  /// The table has been read whole at least once.
  bool complete() const { return complete_; }
  /// The last call was answered.
  bool connected() const { return connected_; }

 private:
  void Take(const WatchedRow& row, std::vector<WatchedRow>* changes);
  void FinishWhole(MonoTime now, const WatchReply& reply, std::vector<WatchedRow>* changes);
  void Remove(MonoTime now, const std::string& key, std::vector<WatchedRow>* changes);
  void OnFailure(MonoTime now);

  Pace pace_;
  RandomEngine random_;
  std::map<std::string, uint64_t> versions_;  ///< Of the rows that exist.
  std::map<std::string, MonoTime> missing_;   ///< Reported as deleted at this time.
  std::map<std::string, uint64_t> reading_;   ///< Rows of the whole read under way.
  std::string from_;
  uint64_t after_ = 0;
  bool whole_ = true;
  bool complete_ = false;
  bool connected_ = false;
  bool in_call_ = false;
  std::optional<MonoTime> returned_;  ///< When the store answered again after a failure.
  MonoTime due_;
};

}  // namespace jd
