#include "cluster/config_reader.h"

#include <optional>
#include <utility>

#include "common/config_codec.h"

namespace jd {

void ConfigReader::StartRead(ConfigurationPtr start, TableCalls* calls) {
  configuration_ = std::move(start);
  snapshot_ = nullptr;
  snapshot_read_ = false;
  entries_.clear();
  head_known_ = false;
  error_.clear();
  state_ = ReadState::kReading;
  SendCall(Step::kHead, TableGet{kHeadKey}, calls);
}

void ConfigReader::OnReply(uint64_t token, const TableReply& reply, TableCalls* calls) {
  if (state_ != ReadState::kReading || token != token_) {
    return;
  }
  if (reply.status != TableStatus::kDone) {
    Fail("the table did not reply");
    return;
  }
  switch (step_) {
    case Step::kHead:
      OnHead(reply, calls);
      return;
    case Step::kSnapshot:
      OnSnapshot(reply, calls);
      return;
    case Step::kRange:
      OnRange(reply, calls);
      return;
  }
}

void ConfigReader::AbandonRead() {
  if (state_ == ReadState::kReading) {
    Fail("the table did not reply");
  }
}

void ConfigReader::SendCall(Step step, TableRequest request, TableCalls* calls) {
  step_ = step;
  token_ = next_token_++;
  calls->push_back({token_, std::move(request), kTimeout});
}

void ConfigReader::OnHead(const TableReply& reply, TableCalls* calls) {
  head_known_ = true;
  head_ = reply.rows.empty() ? ConfigVersion() : VersionOfHead(reply.rows[0].value);
  head_row_version_ = reply.rows.empty() ? 0 : reply.rows[0].version;
  if (configuration_ == nullptr && head_ == ConfigVersion()) {
    configuration_ = std::make_shared<Configuration>();
  }
  if (configuration_ == nullptr) {
    SendCall(Step::kSnapshot, TableGet{kSnapshotKey}, calls);
    return;
  }
  ReadNextEntries(calls);
}

void ConfigReader::OnSnapshot(const TableReply& reply, TableCalls* calls) {
  snapshot_read_ = true;
  if (!reply.rows.empty()) {
    ConfigErrors errors;
    std::optional<Configuration> read = ConfigurationFromJson(reply.rows[0].value, &errors);
    if (!read) {
      Fail("the snapshot row is not valid: " + ErrorText(errors));
      return;
    }
    if (configuration_ == nullptr || configuration_->version < read->version) {
      snapshot_ = std::make_shared<Configuration>(std::move(*read));
      configuration_ = snapshot_;
      entries_.clear();
    }
  } else if (configuration_ == nullptr) {
    configuration_ = std::make_shared<Configuration>();
  }
  ReadNextEntries(calls);
}

void ConfigReader::OnRange(const TableReply& reply, TableCalls* calls) {
  bool progress = false;
  for (const TableRow& row : reply.rows) {
    const ConfigVersion version = VersionOfLogKey(row.key);
    if (version <= configuration_->version) {
      continue;
    }
    if (version.value != configuration_->version.value + 1) {
      break;
    }
    ConfigErrors errors;
    const std::optional<ConfigEntry> entry = EntryFromLogRow(version, row.value, &errors);
    if (!entry) {
      Fail("log row " + std::to_string(version.value) + " is not valid: " + ErrorText(errors));
      return;
    }
    try {
      configuration_ = std::make_shared<Configuration>(ApplyEntry(*configuration_, *entry));
    } catch (const ConfigException& error) {
      Fail(error.what());
      return;
    }
    entries_.push_back(*entry);
    progress = true;
  }
  if (!progress && configuration_->version < head_) {
    // The entries after the configuration's version were deleted by compaction; the snapshot covers
    // them.
    if (snapshot_read_) {
      Fail("the log has a gap after version " + std::to_string(configuration_->version.value));
      return;
    }
    SendCall(Step::kSnapshot, TableGet{kSnapshotKey}, calls);
    return;
  }
  ReadNextEntries(calls);
}

void ConfigReader::ReadNextEntries(TableCalls* calls) {
  if (configuration_->version >= head_) {
    state_ = ReadState::kAtHead;
    return;
  }
  constexpr uint32_t limit = 100;
  SendCall(Step::kRange, TableRange{kLogPrefix, LogKey(configuration_->version), limit}, calls);
}

void ConfigReader::Fail(std::string error) {
  state_ = ReadState::kFailed;
  error_ = std::move(error);
}

}  // namespace jd
