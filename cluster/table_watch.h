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
  uint64_t version = 0;  ///< Of a deleted row: no later state of the row is older than this.
  bool deleted = false;
  bool restored = false;  ///< It was missing after an outage and is back.
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
  /// Rows that vanished across an outage and may come back.
  std::vector<std::string> missing;
  bool failed = false;  ///< The call failed, so nothing was read.
};

/// Follows one table of the platform's store: reads it whole, then asks for changes, and reads it
/// whole again when the history was lost.
///
/// Rows that expired while the store was away come back shortly after its return. A row that
/// vanished across an outage is therefore reported as deleted only if it stays away for
/// kReturnTime.
///
/// A gateway that is told what another one reads postpones its own next call. Of several gateways
/// that tell each other, one therefore reads for all, and when it stops, the first one whose
/// patience ends takes over; nothing has to be agreed. It asks without a wait first, so that its
/// answer stops the others from taking over too. Gateways that all fail to reach the store tell
/// each other so, and take turns to ask.
class TableWatch {
 public:
  static constexpr Duration kReturnTime = 2500ms;
  /// Between calls after a failure; doubled with each one more up to the greatest.
  static constexpr Duration kLeastRetry = 300ms;
  static constexpr Duration kGreatestRetry = 1s;
  /// Between calls of a gateway while others that it hears fail too.
  static constexpr Duration kGreatestSharedRetry = 1200ms;

  struct Pace {
    Duration interval{0};  ///< Least time between the starts of two calls.
    /// For a change, in one call. With the interval it is shorter than the least patience.
    Duration wait{0};
    /// Time after news in which no own call is made, drawn from this range.
    Duration least_patience{0};
    Duration greatest_patience{0};
  };

  TableWatch(Pace pace, uint64_t seed) : pace_(pace), random_(seed) {}

  /// Returns the call to make now, if one is due; it is answered by OnReply.
  std::optional<WatchCall> Next(MonoTime now);
  /// Takes in an answer. @return the rows that changed; of a whole read, once it is complete.
  std::vector<WatchedRow> OnReply(MonoTime now, const WatchReply& reply);
  /// Takes in what another gateway read. @return the rows that changed.
  std::vector<WatchedRow> OnNews(MonoTime now, const TableNews& news);
  /// Makes no calls while the store is away for `scout`, whose calls tell when it is back.
  void SetScout(const TableWatch* scout) { scout_ = scout; }
  /// Returns what to tell other gateways after a read.
  /// @param after version before the read.
  /// @param rows those that changed in substance; left out if they are large, so that the others
  /// read for themselves.
  TableNews NewsOf(const std::string& table,
                   uint64_t after,
                   const std::vector<WatchedRow>& rows) const;
  /// Returns what to tell other gateways after a call that failed.
  TableNews FailureNews(const std::string& table) const;
  /// Returns the rows whose time to come back has passed, as deleted.
  std::vector<WatchedRow> TakeExpired(MonoTime now);
  /// Returns when Next or TakeExpired is due.
  std::optional<MonoTime> next_timer() const;

  /// Newest version that was taken in.
  uint64_t version() const { return after_; }
  /// The table has been read whole at least once.
  bool complete() const { return complete_; }
  /// A whole read is due or under way, so version() covers nothing new.
  bool reading_whole() const { return whole_; }
  /// The store answered before and does not now.
  bool store_away() const { return complete_ && !connected_; }
  /// Rows that vanished across an outage and may come back.
  std::vector<std::string> missing() const;

 private:
  void TakeRows(MonoTime now,
                const std::vector<WatchedRow>& rows,
                std::vector<WatchedRow>* changes);
  void Take(const WatchedRow& row, std::vector<WatchedRow>* changes);
  void TakePage(MonoTime now, const WatchReply& reply, std::vector<WatchedRow>* changes);
  void Remove(MonoTime now,
              const std::string& key,
              uint64_t version,
              std::vector<WatchedRow>* changes);
  void Expect(const std::string& key, MonoTime until);
  void OnReturn(MonoTime now);
  void OnFailure(MonoTime now);
  void OnPeerFailure(MonoTime now);
  bool held() const { return scout_ != nullptr && scout_->store_away(); }
  Duration Draw(Duration least, Duration greatest);

  const TableWatch* scout_ = nullptr;
  Pace pace_;
  RandomEngine random_;
  std::map<std::string, uint64_t> versions_;     ///< Of the rows that exist.
  std::map<std::string, MonoTime> missing_;      ///< Reported as deleted at this time.
  std::map<std::string, WatchedRow> page_rows_;  ///< Of the whole read under way.
  std::string from_;
  uint64_t first_page_version_ = 0;
  uint64_t after_ = 0;
  bool whole_ = true;
  bool complete_ = false;
  bool connected_ = false;
  bool leads_ = false;  ///< Made the latest read of all gateways that it hears.
  bool in_call_ = false;
  Duration retry_ = kLeastRetry;
  std::optional<MonoTime> returned_;  ///< When the store answered again after a failure.
  MonoTime called_;                   ///< Start of the latest call.
  MonoTime due_;
};

}  // namespace jd
