#include "cluster/config_writer.h"

#include <algorithm>
#include <utility>

#include "common/config_codec.h"

namespace jd {

ConfigWriter::ConfigWriter(WriteRequest request, ConfigurationPtr configuration, MonoTime deadline)
    : request_(std::move(request)), configuration_(std::move(configuration)), deadline_(deadline) {
  change_known_ = !request_.rollback_to.has_value();
}

void ConfigWriter::Start(Now /*now*/, TableCalls* calls) {
  ReadToHead(calls);
}

void ConfigWriter::OnTimer(Now now, TableCalls* calls) {
  if (done()) {
    return;
  }
  if (now.mono >= deadline_) {
    OnDeadline();
    return;
  }
  if (step_ != Step::kWaitForRetry || now.mono < retry_at_) {
    return;
  }
  if (step_after_wait_ == Step::kCommit) {
    Commit(calls);
  } else if (step_after_wait_ == Step::kReadOutcome) {
    SendCall(Step::kReadOutcome, TableGet{LogKey(entry_.version)}, calls);
  } else {
    ReadToHead(calls);
  }
}

void ConfigWriter::OnTableReply(Now now,
                                uint64_t token,
                                const TableReply& reply,
                                TableCalls* calls) {
  if (done()) {
    return;
  }
  if (step_ == Step::kRead) {
    const bool busy = reader_.state() == ReadState::kReading;
    reader_.OnReply(token, reply, calls);
    if (busy && reader_.state() != ReadState::kReading) {
      OnReadFinished(now, calls);
    }
    return;
  }
  if (token != token_) {
    return;
  }
  switch (step_) {
    case Step::kTraceRollback:
      OnTracedEntry(now, reply, calls);
      return;
    case Step::kReadNewer:
      OnNewerEntry(reply);
      return;
    case Step::kCommit:
      OnCommit(now, reply, calls);
      return;
    case Step::kReadOutcome:
      OnOutcomeRow(now, reply, calls);
      return;
    case Step::kRead:
    case Step::kWaitForRetry:
      return;
  }
}

MonoTime ConfigWriter::next_timer() const {
  return step_ == Step::kWaitForRetry ? std::min(retry_at_, deadline_) : deadline_;
}

void ConfigWriter::ReadToHead(TableCalls* calls) {
  step_ = Step::kRead;
  reader_.StartRead(configuration_, calls);
}

void ConfigWriter::OnReadFinished(Now now, TableCalls* calls) {
  if (reader_.state() == ReadState::kFailed) {
    ScheduleRetry(now, Step::kRead);
    return;
  }
  configuration_ = reader_.configuration();
  // If the head is older than the active configuration, the table has lost entries.
  if (configuration_->version != reader_.head()) {
    Refuse("",
           "the table's log ends before version " + std::to_string(configuration_->version.value),
           "a table that holds every accepted change");
    return;
  }
  if (request_.base && *request_.base != ObjectVersion()) {
    Refuse("base",
           ObjectOf(request_.change).key() + " is at version " +
               std::to_string(ObjectVersion().value) + ", the change is based on " +
               std::to_string(request_.base->value),
           "the current version as base");
    result_.status = WriteStatus::kPending;
    SendCall(Step::kReadNewer, TableGet{LogKey(ObjectVersion())}, calls);
    return;
  }
  if (change_known_) {
    ValidateAndCommit(now, calls);
    return;
  }
  traced_version_ = ObjectVersion();
  OnTracedEntry(now, {TableStatus::kDone, {}, {}}, calls);
}

void ConfigWriter::ValidateAndCommit(Now now, TableCalls* calls) {
  result_.errors = CheckChange(*configuration_, request_.change);
  if (!result_.errors.empty()) {
    result_.status = WriteStatus::kRefused;
    return;
  }
  const ConfigVersion version(configuration_->version.value + 1);
  entry_ = {version, ToJson(request_.change), request_.nonce, request_.author, now.wall};
  transaction_ = {};
  transaction_.checks = {{kHeadKey, reader_.head_row_version()}, {LogKey(version), 0}};
  transaction_.puts = {{kHeadKey, HeadValue(version)},
                       {LogKey(version), ToLogRow(entry_, ObjectVersion())}};
  // The snapshot is written in the same transaction, so that it needs no check of its own and is
  // never skipped.
  if (version.value % kSnapshotInterval == 0) {
    transaction_.puts.push_back(
        {kSnapshotKey, ToJson(WithChange(*configuration_, request_.change))});
  }
  Commit(calls);
}

/// Walks back through the entries of the object, from each entry to the one that it replaced, until
/// the entry that was in effect at the version to roll back to.
void ConfigWriter::OnTracedEntry(Now now, const TableReply& reply, TableCalls* calls) {
  if (reply.status != TableStatus::kDone) {
    ScheduleRetry(now, Step::kRead);
    return;
  }
  const std::string key = ObjectOf(request_.change).key();
  if (step_ == Step::kTraceRollback) {
    ConfigErrors errors;
    const auto entry = reply.rows.empty()
                           ? std::nullopt
                           : EntryFromLogRow(traced_version_, reply.rows[0].value, &errors);
    if (!entry) {
      Refuse("version", "the log no longer reaches back to that version of " + key,
             "a version within the log");
      return;
    }
    if (traced_version_ <= *request_.rollback_to) {
      const std::optional<ConfigChange> change = ChangeFromJson(entry->change, &errors);
      if (!change) {
        Refuse("version", "the entry is not valid: " + ErrorText(errors), "a valid entry");
        return;
      }
      request_.change = *change;
      change_known_ = true;
      ValidateAndCommit(now, calls);
      return;
    }
    traced_version_ = BaseOfLogRow(reply.rows[0].value);
  }
  if (traced_version_ == ConfigVersion()) {
    request_.change = Removal{ObjectOf(request_.change)};
    change_known_ = true;
    ValidateAndCommit(now, calls);
    return;
  }
  SendCall(Step::kTraceRollback, TableGet{LogKey(traced_version_)}, calls);
}

void ConfigWriter::OnNewerEntry(const TableReply& reply) {
  ConfigErrors errors;
  if (reply.status == TableStatus::kDone && !reply.rows.empty()) {
    result_.newer = EntryFromLogRow(ObjectVersion(), reply.rows[0].value, &errors);
  }
  result_.status = WriteStatus::kRefused;
}

void ConfigWriter::Commit(TableCalls* calls) {
  may_be_recorded_ = true;
  SendCall(Step::kCommit, transaction_, calls);
}

void ConfigWriter::OnCommit(Now now, const TableReply& reply, TableCalls* calls) {
  switch (reply.status) {
    case TableStatus::kDone:
      Accept();
      return;
    case TableStatus::kConflict:
    case TableStatus::kUnknown:
      // The conflict may be with an earlier attempt of this transaction that took effect, so read
      // the log row.
      SendCall(Step::kReadOutcome, TableGet{LogKey(entry_.version)}, calls);
      return;
    case TableStatus::kUnavailable:
      ScheduleRetry(now, Step::kReadOutcome);
      return;
  }
}

void ConfigWriter::OnOutcomeRow(Now now, const TableReply& reply, TableCalls* calls) {
  if (reply.status != TableStatus::kDone) {
    ScheduleRetry(now, Step::kReadOutcome);
    return;
  }
  if (reply.rows.empty()) {
    // A transaction whose reply was lost may still be in flight. Sending it again resolves the
    // uncertainty: either this attempt commits, or the check of the head row conflicts because
    // another transaction wrote the version.
    ScheduleRetry(now, Step::kCommit);
    return;
  }
  ConfigErrors errors;
  const auto recorded = EntryFromLogRow(entry_.version, reply.rows[0].value, &errors);
  if (recorded && recorded->nonce == request_.nonce) {
    Accept();
    return;
  }
  // Another change was recorded under this version, so no attempt of this transaction can still
  // commit.
  may_be_recorded_ = false;
  ReadToHead(calls);
}

void ConfigWriter::ScheduleRetry(Now now, Step step) {
  step_ = Step::kWaitForRetry;
  step_after_wait_ = step;
  retry_at_ = now.mono + kRetryDelay;
}

void ConfigWriter::SendCall(Step step, TableRequest request, TableCalls* calls) {
  step_ = step;
  token_ = next_token_++;
  calls->push_back({token_, std::move(request), ConfigReader::kTimeout});
}

void ConfigWriter::Refuse(const std::string& path, std::string problem, std::string accepted) {
  result_.errors = {{path, std::move(problem), std::move(accepted)}};
  result_.status = WriteStatus::kRefused;
}

void ConfigWriter::Accept() {
  result_.entry = entry_;
  result_.status = WriteStatus::kAccepted;
}

void ConfigWriter::OnDeadline() {
  if (may_be_recorded_) {
    result_.status = WriteStatus::kUnknown;
    return;
  }
  // A change that was refused for its base keeps that error, even if the newer entry could not be
  // read in time.
  if (result_.errors.empty()) {
    Refuse("", "the table cannot be reached", "a table that replies before the deadline");
  }
  result_.status = WriteStatus::kRefused;
}

ConfigVersion ConfigWriter::ObjectVersion() const {
  const auto found = configuration_->object_versions.find(ObjectOf(request_.change).key());
  return found == configuration_->object_versions.end() ? ConfigVersion() : found->second;
}

}  // namespace jd
