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
  /// Version of the last write. For a deleted row, any later state of the row has at least this
  /// version.
  uint64_t version = 0;
  bool deleted = false;
  bool restored = false;  ///< The row was missing after an outage and has been written again.
};

/// The known rows of one table of the platform's store.
///
/// Rows that expire during a store outage, or are missing in a copy from which the store was
/// restored, are usually written again shortly after. A row that disappears during the grace period
/// is therefore reported as deleted only if it is still missing at its end.
class TableRows {
 public:
  static constexpr Duration kMissingRowGrace = 2500ms;

  /// Starts the grace period at `now`, also for the rows that are missing already.
  void StartGrace(MonoTime now);
  /// Applies changes that belong to the same history of the store as the known rows. A change that
  /// is not newer than the known state of its row is ignored.
  /// @param[out] changes the rows that changed are appended.
  void Apply(MonoTime now, const std::vector<WatchedRow>& rows, std::vector<WatchedRow>* changes);
  /// Takes the content of the whole table, whatever the versions of the known rows.
  /// @param[out] changes the rows that changed are appended.
  void Replace(MonoTime now,
               const std::map<std::string, WatchedRow>& rows,
               std::vector<WatchedRow>* changes);
  /// Makes any version newer than the known rows, because the store counts versions anew.
  void ForgetVersions();
  /// Marks rows as missing since `now`. Unknown rows are ignored.
  void MarkMissing(MonoTime now, const std::vector<std::string>& keys);
  /// Removes the missing rows whose grace period has passed and returns them as deleted.
  std::vector<WatchedRow> ExpireMissing(MonoTime now);

  /// Existing rows by key, including missing ones.
  const std::map<std::string, WatchedRow>& rows() const { return rows_; }
  /// Keys of rows that have disappeared and may be written again.
  std::vector<std::string> missing() const;
  /// Returns when the next missing row is due in ExpireMissing.
  std::optional<MonoTime> next_expiry() const;
  /// Number of rows that were ignored because their version is not above the known one, although
  /// their content differs.
  uint64_t ignored() const { return ignored_; }

 private:
  void Put(const WatchedRow& row, std::vector<WatchedRow>* changes);
  void Remove(MonoTime now,
              const std::string& key,
              uint64_t version,
              std::vector<WatchedRow>* changes);

  std::map<std::string, WatchedRow> rows_;
  std::map<std::string, MonoTime> missing_;  ///< By key: when the row is reported as deleted.
  std::optional<MonoTime> grace_end_;
  uint64_t ignored_ = 0;
};

}  // namespace jd
