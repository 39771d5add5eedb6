#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

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

/// Follows one table of the platform's store: reads it whole, then asks for changes, and reads it
/// whole again when the history was lost.
///
/// Rows that expired while the store was away come back shortly after its return. A row that
/// vanished across an outage is therefore reported as deleted only if it stays away for
/// kReturnTime.
class TableWatch {
 public:
  static constexpr Duration kReturnTime = 2500ms;
  /// Between calls after a failure.
  static constexpr Duration kRetryAfter = 300ms;

  struct Pace {
    Duration interval{0};  ///< Least time between the starts of two calls.
    Duration wait{0};      ///< For a change, in one call.
  };

  explicit TableWatch(Pace pace) : pace_(pace) {}

  /// Returns the call to make now, if one is due; it is answered by OnReply.
  std::optional<WatchCall> Next(MonoTime now);
  /// Takes in an answer. @return the rows that changed.
  std::vector<WatchedRow> OnReply(MonoTime now, const WatchReply& reply);
  /// Returns the rows whose time to come back has passed, as deleted.
  std::vector<WatchedRow> TakeExpired(MonoTime now);
  /// Returns when Next or TakeExpired is due.
  std::optional<MonoTime> next_timer() const;

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
