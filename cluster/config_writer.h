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

/// One operator's change.
struct WriteRequest {
  ConfigChange change;  ///< For a rollback only its object counts.
  /// Undoes the object's later changes: writes the content it had at this version.
  std::optional<ConfigVersion> rollback_to;
  /// Version of the object that the operator saw, 0 if there was none; empty: whatever is present.
  std::optional<ConfigVersion> base;
  std::string author;
  std::string nonce;  ///< Unique for each change, to recognise it in the log.
};

enum class WriteStatus : uint8_t {
  kPending,
  kAccepted,  ///< Recorded in the log.
  kRefused,   ///< Not recorded, and never will be.
  kUnknown,   ///< The table could not tell in time; it may be recorded.
};

struct WriteResult {
  WriteStatus status = WriteStatus::kPending;
  std::optional<ConfigEntry> entry;  ///< The recorded entry, if accepted.
  ConfigErrors errors;               ///< Why it was refused.
  std::optional<ConfigEntry> newer;  ///< The entry that changed the object since `base`.
};

/// Records one change in the table, design section 3.5: reads up to the head, checks base and
/// content, and writes head and log row in one transaction that checks the head. A lost answer is
/// settled by the nonce of the log row, never by a guess.
class ConfigWriter {
 public:
  static constexpr Duration kRetryAfter = 200ms;

  /// @param start the configuration in use, or null.
  /// @param deadline time by which the operator gets an answer.
  ConfigWriter(WriteRequest request, ConfigurationPtr start, MonoTime deadline);

  void Start(Now now, TableCalls* calls);
  void OnTimer(Now now, TableCalls* calls);
  void OnTableReply(Now now, uint64_t token, const TableReply& reply, TableCalls* calls);

  MonoTime next_timer() const;
  bool done() const { return result_.status != WriteStatus::kPending; }
  const WriteResult& result() const { return result_; }

 private:
  enum class Step : uint8_t { kRead, kTrace, kNewer, kCommit, kSettle, kWait };

  void Read(TableCalls* calls);
  void OnRead(Now now, TableCalls* calls);
  void Check(Now now, TableCalls* calls);
  void OnTrace(Now now, const TableReply& reply, TableCalls* calls);
  void OnNewer(const TableReply& reply);
  void Commit(TableCalls* calls);
  void OnCommit(Now now, const TableReply& reply, TableCalls* calls);
  void OnSettle(Now now, const TableReply& reply, TableCalls* calls);
  void Retry(Now now, Step step);
  void Call(Step step, TableRequest request, TableCalls* calls);
  void Refuse(const std::string& path, std::string problem, std::string accepted);
  void Accept();
  void GiveUp();
  ConfigVersion ObjectVersion() const;

  WriteRequest request_;
  ConfigurationPtr start_;
  MonoTime deadline_;
  ConfigReader reader_{1};
  uint64_t next_token_ = uint64_t{1} << 32;  ///< Above the reader's tokens.
  uint64_t token_ = 0;
  Step step_ = Step::kRead;
  Step after_wait_ = Step::kRead;
  MonoTime retry_at_;
  ConfigVersion trace_;  ///< Log row that a rollback looks at.
  bool change_known_ = true;
  ConfigEntry entry_;             ///< What the transaction records.
  TableTransaction transaction_;  ///< Repeated unchanged until it is settled.
  bool may_be_written_ = false;   ///< A transaction was sent whose effect is not known.
  WriteResult result_;
};

}  // namespace jd
