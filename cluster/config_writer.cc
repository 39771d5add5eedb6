#include "cluster/config_writer.h"

#include <algorithm>
#include <utility>

#include "common/config_codec.h"

namespace jd {

ConfigWriter::ConfigWriter(WriteRequest request, ConfigurationPtr start, MonoTime deadline)
    : request_(std::move(request)), start_(std::move(start)), deadline_(deadline) {
  change_known_ = !request_.rollback_to.has_value();
}

void ConfigWriter::Start(Now /*now*/, TableCalls* calls) {
  Read(calls);
}

void ConfigWriter::OnTimer(Now now, TableCalls* calls) {
  if (done()) {
    return;
  }
  if (now.mono >= deadline_) {
    GiveUp();
    return;
  }
  if (step_ != Step::kWait || now.mono < retry_at_) {
    return;
  }
  if (after_wait_ == Step::kCommit) {
    Commit(calls);
  } else if (after_wait_ == Step::kSettle) {
    Call(Step::kSettle, TableGet{LogKey(entry_.version)}, calls);
  } else {
    Read(calls);
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
    const bool busy = reader_.state() == ReadState::kBusy;
    reader_.OnReply(token, reply, calls);
    if (busy && reader_.state() != ReadState::kBusy) {
      OnRead(now, calls);
    }
    return;
  }
  if (token != token_) {
    return;
  }
  switch (step_) {
    case Step::kTrace:
      OnTrace(now, reply, calls);
      return;
    case Step::kNewer:
      OnNewer(reply);
      return;
    case Step::kCommit:
      OnCommit(now, reply, calls);
      return;
    case Step::kSettle:
      OnSettle(now, reply, calls);
      return;
    case Step::kRead:
    case Step::kWait:
      return;
  }
}

MonoTime ConfigWriter::next_timer() const {
  return step_ == Step::kWait ? std::min(retry_at_, deadline_) : deadline_;
}

void ConfigWriter::Read(TableCalls* calls) {
  step_ = Step::kRead;
  reader_.Begin(start_, calls);
}

void ConfigWriter::OnRead(Now now, TableCalls* calls) {
  if (reader_.state() == ReadState::kFailed) {
    Retry(now, Step::kRead);
    return;
  }
  start_ = reader_.configuration();
  // If the head is older than the active configuration, the table has lost entries.
  if (start_->version != reader_.head()) {
    Refuse("", "the table's log ends before version " + std::to_string(start_->version.value),
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
    Call(Step::kNewer, TableGet{LogKey(ObjectVersion())}, calls);
    return;
  }
  if (change_known_) {
    Check(now, calls);
    return;
  }
  trace_ = ObjectVersion();
  OnTrace(now, {TableStatus::kDone, {}, {}}, calls);
}

void ConfigWriter::Check(Now now, TableCalls* calls) {
  result_.errors = CheckChange(*start_, request_.change);
  if (!result_.errors.empty()) {
    result_.status = WriteStatus::kRefused;
    return;
  }
  const ConfigVersion version(start_->version.value + 1);
  entry_ = {version, ToJson(request_.change), request_.nonce, request_.author, now.wall};
  transaction_ = {};
  transaction_.checks = {{kHeadKey, reader_.head_row()}, {LogKey(version), 0}};
  transaction_.puts = {{kHeadKey, HeadValue(version)},
                       {LogKey(version), ToLogRow(entry_, ObjectVersion())}};
  // The snapshot is written in the same transaction, so that it needs no check of its own and is
  // never skipped.
  if (version.value % kSnapshotEvery == 0) {
    transaction_.puts.push_back({kSnapshotKey, ToJson(WithChange(*start_, request_.change))});
  }
  Commit(calls);
}

/// Walks back through the entries of the object, from each entry to the one that it replaced, until
/// the entry that was in effect at the version to roll back to.
void ConfigWriter::OnTrace(Now now, const TableReply& reply, TableCalls* calls) {
  if (reply.status != TableStatus::kDone) {
    Retry(now, Step::kRead);
    return;
  }
  const std::string key = ObjectOf(request_.change).key();
  if (step_ == Step::kTrace) {
    ConfigErrors errors;
    const auto entry =
        reply.rows.empty() ? std::nullopt : EntryFromLogRow(trace_, reply.rows[0].value, &errors);
    if (!entry) {
      Refuse("version", "the log no longer reaches back to that version of " + key,
             "a version within the log");
      return;
    }
    if (trace_ <= *request_.rollback_to) {
      const std::optional<ConfigChange> change = ChangeFromJson(entry->change, &errors);
      if (!change) {
        Refuse("version", "the entry is not valid: " + ErrorText(errors), "a valid entry");
        return;
      }
      request_.change = *change;
      change_known_ = true;
      Check(now, calls);
      return;
    }
    trace_ = BaseOfLogRow(reply.rows[0].value);
  }
  if (trace_ == ConfigVersion()) {
    request_.change = Removal{ObjectOf(request_.change)};
    change_known_ = true;
    Check(now, calls);
    return;
  }
  Call(Step::kTrace, TableGet{LogKey(trace_)}, calls);
}

void ConfigWriter::OnNewer(const TableReply& reply) {
  ConfigErrors errors;
  if (reply.status == TableStatus::kDone && !reply.rows.empty()) {
    result_.newer = EntryFromLogRow(ObjectVersion(), reply.rows[0].value, &errors);
  }
  result_.status = WriteStatus::kRefused;
}

void ConfigWriter::Commit(TableCalls* calls) {
  may_be_written_ = true;
  Call(Step::kCommit, transaction_, calls);
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
      Call(Step::kSettle, TableGet{LogKey(entry_.version)}, calls);
      return;
    case TableStatus::kUnavailable:
      Retry(now, Step::kSettle);
      return;
  }
}

void ConfigWriter::OnSettle(Now now, const TableReply& reply, TableCalls* calls) {
  if (reply.status != TableStatus::kDone) {
    Retry(now, Step::kSettle);
    return;
  }
  if (reply.rows.empty()) {
    // A transaction whose reply was lost may still be in flight. Sending it again resolves the
    // uncertainty: either this attempt commits, or the check of the head row conflicts because
    // another transaction wrote the version.
    Retry(now, Step::kCommit);
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
  may_be_written_ = false;
  Read(calls);
}

void ConfigWriter::Retry(Now now, Step step) {
  step_ = Step::kWait;
  after_wait_ = step;
  retry_at_ = now.mono + kRetryAfter;
}

void ConfigWriter::Call(Step step, TableRequest request, TableCalls* calls) {
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

void ConfigWriter::GiveUp() {
  if (may_be_written_) {
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
  const auto found = start_->object_versions.find(ObjectOf(request_.change).key());
  return found == start_->object_versions.end() ? ConfigVersion() : found->second;
}

}  // namespace jd
