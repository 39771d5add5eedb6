#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/table_call.h"
#include "common/config_entry.h"
#include "common/configuration.h"

namespace jd {

enum class ReadState : uint8_t { kIdle, kReading, kAtHead, kFailed };

/// Advances a configuration to the head of the table's log. Reads the head row, then the snapshot
/// if the log no longer holds every entry after the configuration's version, then ranges of
/// entries, which are applied in sequence without gaps.
class ConfigReader {
 public:
  static constexpr Duration kTimeout = 2s;

  /// @param first_token token of the first call, incremented for each call. The owner must not use
  /// the same tokens for its own calls.
  explicit ConfigReader(uint64_t first_token) : next_token_(first_token) {}

  /// Starts a read. A read in progress is abandoned.
  /// @param start the active configuration, or null.
  void StartRead(ConfigurationPtr start, TableCalls* calls);
  /// Handles a reply and sends the next call. A reply that does not belong to the current read is
  /// ignored.
  void OnReply(uint64_t token, const TableReply& reply, TableCalls* calls);
  /// Ends a read in progress with kFailed if a reply is still missing.
  void AbandonRead();

  ReadState state() const { return state_; }
  /// The configuration read so far, also if the read failed part-way; null if there is none.
  const ConfigurationPtr& configuration() const { return configuration_; }
  /// The snapshot from which this read continued, or null if it did not use one.
  const ConfigurationPtr& snapshot() const { return snapshot_; }
  /// Entries applied in this read, after the snapshot if it used one.
  const std::vector<ConfigEntry>& entries() const { return entries_; }
  bool head_known() const { return head_known_; }
  ConfigVersion head() const { return head_; }
  /// Version of the head row in the table, which a transaction checks before it writes the row.
  uint64_t head_row_version() const { return head_row_version_; }
  /// Why the read failed.
  const std::string& error() const { return error_; }

 private:
  enum class Step : uint8_t { kHead, kSnapshot, kRange };

  void SendCall(Step step, TableRequest request, TableCalls* calls);
  void OnHead(const TableReply& reply, TableCalls* calls);
  void OnSnapshot(const TableReply& reply, TableCalls* calls);
  void OnRange(const TableReply& reply, TableCalls* calls);
  void ReadNextEntries(TableCalls* calls);
  void Fail(std::string error);

  uint64_t next_token_;
  uint64_t token_ = 0;
  Step step_ = Step::kHead;
  ReadState state_ = ReadState::kIdle;
  ConfigurationPtr configuration_;
  ConfigurationPtr snapshot_;
  bool snapshot_read_ = false;
  std::vector<ConfigEntry> entries_;
  bool head_known_ = false;
  ConfigVersion head_;
  uint64_t head_row_version_ = 0;
  std::string error_;
};

}  // namespace jd
