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
  /// The row had been removed and is back only because the store was restored from a copy. It is
  /// not to be used until it is written again, or reported again without this mark.
  bool recalled = false;
};

/// The known rows of one table of the platform's store.
///
/// Rows that expire during a store outage, or are missing in a copy from which the store was
/// restored, are usually written again shortly after. A row that disappears during the grace period
/// is therefore reported as deleted only if it is still missing at its end.
///
/// A row that was removed may be in such a copy. It is reported as recalled, and once more without
/// that mark if it still exists after a hold, within which the store removes the rows of writers
/// that no longer live.
class TableRows {
 public:
  static constexpr Duration kMissingRowGrace = 2500ms;
  /// How long removed rows are remembered; more than the age of a copy.
  static constexpr Duration kRemovedRowMemory = 60s;

  /// @param recalled_row_hold how long a recalled row is not used; 0 if it is used at once.
  explicit TableRows(Duration recalled_row_hold) : recalled_row_hold_(recalled_row_hold) {}

  /// Starts the grace period at `now`, also for the rows that are missing already.
  void StartGrace(MonoTime now);
  /// Applies changes that belong to the same history of the store as the known rows. A change that
  /// is not newer than the known state of its row is ignored.
  /// @param[out] changes the rows that changed are appended.
  void Apply(MonoTime now, const std::vector<WatchedRow>& rows, std::vector<WatchedRow>* changes);
  /// Takes the content of the whole table, whatever the versions of the known rows.
  /// @param version version of the store to which the rows belong.
  /// @param other_history the store has lost changes since the known rows were read.
  /// @param[out] changes the rows that changed are appended.
  void Replace(MonoTime now,
               const std::map<std::string, WatchedRow>& rows,
               uint64_t version,
               bool other_history,
               std::vector<WatchedRow>* changes);
  /// Makes any version newer than the known rows, because the store counts versions anew.
  void ForgetVersions();
  /// Marks rows as missing since `now`. Unknown rows are ignored.
  void MarkMissing(MonoTime now, const std::vector<std::string>& keys);
  /// Removes the missing rows whose grace period has passed and returns them as deleted.
  std::vector<WatchedRow> ExpireMissing(MonoTime now);
  /// Returns the recalled rows whose hold has passed, without the mark.
  std::vector<WatchedRow> ReleaseRecalled(MonoTime now);

  /// Existing rows by key, including missing ones.
  const std::map<std::string, WatchedRow>& rows() const { return rows_; }
  /// Keys of rows that have disappeared and may be written again.
  std::vector<std::string> missing() const;
  /// Returns when the next missing row is due in ExpireMissing.
  std::optional<MonoTime> next_expiry() const;
  /// Returns when the next recalled row is due in ReleaseRecalled.
  std::optional<MonoTime> next_release() const;
  /// Number of rows that were ignored because their version is not above the known one, although
  /// their content differs.
  uint64_t ignored() const { return ignored_; }

 private:
  void Put(MonoTime now, const WatchedRow& row, std::vector<WatchedRow>* changes);
  void Erase(MonoTime now, const std::string& key);
  void ForgetOldRemovals(MonoTime now);
  void Remove(MonoTime now,
              const std::string& key,
              uint64_t version,
              std::vector<WatchedRow>* changes);

  std::map<std::string, WatchedRow> rows_;
  std::map<std::string, MonoTime> missing_;  ///< By key: when the row is reported as deleted.
  std::optional<MonoTime> grace_end_;
  Duration recalled_row_hold_;
  std::map<std::string, MonoTime> removed_;   ///< By key: when the row was removed.
  std::map<std::string, MonoTime> recalled_;  ///< By key: when the hold of the row ends.
  uint64_t ignored_ = 0;
};

}  // namespace jd
