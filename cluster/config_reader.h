#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cluster/table_call.h"
#include "common/config_entry.h"
#include "common/configuration.h"

namespace jd {

enum class ReadState : uint8_t { kIdle, kBusy, kReached, kFailed };

/// Brings a configuration to the head of the table's log: reads the head, the snapshot if the log
/// does not reach back far enough, then ranges of entries, which apply only in sequence.
class ConfigReader {
 public:
  static constexpr Duration kTimeout = 2s;

  /// @param first_token tokens count up from here; they must not clash with the owner's.
  explicit ConfigReader(uint64_t first_token) : next_token_(first_token) {}

  /// Starts to read; an earlier run is abandoned.
  /// @param start the configuration in use, or null.
  void Begin(ConfigurationPtr start, TableCalls* calls);
  /// Takes an answer; one that does not belong to the present run is ignored.
  void OnReply(uint64_t token, const TableReply& reply, TableCalls* calls);
  /// Gives up a run whose answer never came.
  void Abandon();

  ReadState state() const { return state_; }
  /// What has been reached, also of a run that failed half-way; null if nothing.
  const ConfigurationPtr& configuration() const { return configuration_; }
  /// The snapshot adopted in this run, or null.
  const ConfigurationPtr& snapshot() const { return snapshot_; }
  /// Entries applied in this run, after the snapshot if there is one.
  const std::vector<ConfigEntry>& entries() const { return entries_; }
  bool head_known() const { return head_known_; }
  ConfigVersion head() const { return head_; }
  /// Version of the head's row, for the check of a transaction.
  uint64_t head_row() const { return head_row_; }
  /// Why the run failed.
  const std::string& error() const { return error_; }

 private:
  enum class Step : uint8_t { kHead, kSnapshot, kRange };

  void Call(Step step, TableRequest request, TableCalls* calls);
  void OnHead(const TableReply& reply, TableCalls* calls);
  void OnSnapshot(const TableReply& reply, TableCalls* calls);
  void OnRange(const TableReply& reply, TableCalls* calls);
  void ReadOn(TableCalls* calls);
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
  uint64_t head_row_ = 0;
  std::string error_;
};

}  // namespace jd
