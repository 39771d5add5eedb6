#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/config_reader.h"
#include "cluster/table_call.h"
#include "common/config_change.h"
#include "common/config_entry.h"
#include "common/ids.h"
#include "common/now.h"
#include "common/units.h"

namespace jd {

/// A change of one configuration object requested by an operator.
struct WriteRequest {
  ConfigChange change;  ///< For a rollback, only the object that it names is used.
  /// If set, the change restores the content that the object had at this version.
  std::optional<ConfigVersion> rollback_to;
  /// Version of the object that the operator's change is based on, 0 if the object did not exist.
  /// If empty, the change is applied whatever the object's current version is.
  std::optional<ConfigVersion> base;
  std::string author;
  std::string nonce;  ///< Unique for each change; identifies the change in the log.
};

enum class WriteStatus : uint8_t {
  kPending,
  kAccepted,  ///< Recorded in the log.
  kRefused,   ///< Not recorded, and cannot be recorded later.
  kUnknown,   ///< Not confirmed before the deadline; it may have been recorded.
};

struct WriteResult {
  WriteStatus status = WriteStatus::kPending;
  std::optional<ConfigEntry> entry;  ///< The recorded entry, if accepted.
  ConfigErrors errors;               ///< Why the change was refused.
  std::optional<ConfigEntry> newer;  ///< The latest entry that changed the object after `base`.
};

/// Records one change in the table, design section 3.5. Reads the log up to its head, validates the
/// base version and the content of the change, and writes the head row and a log row in one
/// transaction that checks the head row's version. If the reply to the transaction is lost, the
/// nonce in the log row shows whether the transaction took effect.
class ConfigWriter {
 public:
  static constexpr Duration kRetryDelay = 200ms;

  /// @param configuration the active configuration, or null.
  /// @param deadline time by which the operator gets a result.
  ConfigWriter(WriteRequest request, ConfigurationPtr configuration, MonoTime deadline);

  void Start(Now now, TableCalls* calls);
  void OnTimer(Now now, TableCalls* calls);
  void OnTableReply(Now now, uint64_t token, const TableReply& reply, TableCalls* calls);

  MonoTime next_timer() const;
  bool done() const { return result_.status != WriteStatus::kPending; }
  const WriteResult& result() const { return result_; }

 private:
  enum class Step : uint8_t {
    kRead,           ///< Reads the log up to its head.
    kTraceRollback,  ///< Reads earlier entries of the object for a rollback.
    kReadNewer,      ///< Reads the entry that changed the object after the base.
    kCommit,         ///< Sends the transaction.
    kReadOutcome,    ///< Reads the log row to find out whether the transaction took effect.
    kWaitForRetry,
  };

  void ReadToHead(TableCalls* calls);
  void OnReadFinished(Now now, TableCalls* calls);
  void ValidateAndCommit(Now now, TableCalls* calls);
  void OnTracedEntry(Now now, const TableReply& reply, TableCalls* calls);
  void OnNewerEntry(const TableReply& reply);
  void Commit(TableCalls* calls);
  void OnCommit(Now now, const TableReply& reply, TableCalls* calls);
  void OnOutcomeRow(Now now, const TableReply& reply, TableCalls* calls);
  void ScheduleRetry(Now now, Step step);
  void SendCall(Step step, TableRequest request, TableCalls* calls);
  void Refuse(const std::string& path, std::string problem, std::string accepted);
  void Accept();
  void OnDeadline();
  ConfigVersion ObjectVersion() const;

  WriteRequest request_;
  ConfigurationPtr configuration_;
  MonoTime deadline_;
  ConfigReader reader_{1};
  uint64_t next_token_ = uint64_t{1} << 32;  ///< Greater than any token of the reader.
  uint64_t token_ = 0;
  Step step_ = Step::kRead;
  Step step_after_wait_ = Step::kRead;
  MonoTime retry_at_;
  ConfigVersion traced_version_;  ///< Version of the log row that a rollback examines.
  bool change_known_ = true;
  ConfigEntry entry_;             ///< The entry that the transaction records.
  TableTransaction transaction_;  ///< Retried unchanged until its outcome is known.
  bool may_be_recorded_ = false;  ///< A transaction was sent and its outcome is not known.
  WriteResult result_;
};

}  // namespace jd
