#include "cluster/config_keeper.h"

#include <algorithm>
#include <random>

#include "common/config_codec.h"

namespace jd {

void ConfigKeeper::Start(MonoTime now, const std::vector<GatewayId>& peers, ConfigOutput* output) {
  start_time_ = now;
  initial_peers_ = peers;
  PollTable(now, output);
}

void ConfigKeeper::OnTimer(MonoTime now, ConfigOutput* output) {
  if (reader_.state() == ReadState::kReading && now - last_poll_ > 10 * ConfigReader::kTimeout) {
    reader_.AbandonRead();
    ApplyRead(output);
  }
  if (now >= next_poll_) {
    PollTable(now, output);
  }
  UpdateReady(now);
}

void ConfigKeeper::OnTableReply(MonoTime now,
                                uint64_t token,
                                const TableReply& reply,
                                ConfigOutput* output) {
  const bool busy = reader_.state() == ReadState::kReading;
  reader_.OnReply(token, reply, &output->calls);
  if (busy && reader_.state() != ReadState::kReading) {
    ApplyRead(output);
  }
  UpdateReady(now);
}

void ConfigKeeper::OnEntries(MonoTime now,
                             const GatewayId& from,
                             const ConfigEntries& entries,
                             ConfigOutput* output) {
  bool changed = false;
  peer_snapshot_received_ = peer_snapshot_received_ || !entries.snapshot.empty();
  if (!entries.snapshot.empty() &&
      (configuration_ == nullptr || version() < entries.snapshot_version)) {
    ConfigErrors errors;
    std::optional<Configuration> snapshot = ConfigurationFromJson(entries.snapshot, &errors);
    if (snapshot && snapshot->version == entries.snapshot_version) {
      changed = ApplySnapshot(std::make_shared<Configuration>(std::move(*snapshot)), output);
    }
  }
  for (const ConfigEntry& entry : entries.entries) {
    changed = ApplyNextEntry(entry, output) || changed;
  }
  if (changed && source_ == ConfigSource::kNone) {
    source_ = ConfigSource::kPeers;
  }
  if (!entries.entries.empty() && version() < entries.entries.back().version) {
    FetchEntries(now, from, output);
  }
  UpdateReady(now);
}

void ConfigKeeper::OnFetch(const GatewayId& from,
                           const ConfigFetch& fetch,
                           ConfigOutput* output) const {
  if (configuration_ == nullptr) {
    return;
  }
  ConfigEntries answer;
  // Version 0 may mean that the peer has no configuration yet, so send it the base as well.
  if (fetch.after < base_->version || fetch.after == ConfigVersion()) {
    answer.snapshot_version = base_->version;
    answer.snapshot = ToJson(*base_);
  }
  for (const ConfigEntry& entry : history_) {
    if (entry.version > fetch.after) {
      answer.entries.push_back(entry);
    }
  }
  output->answers.emplace_back(from, std::move(answer));
}

void ConfigKeeper::OnPeerVersion(MonoTime now,
                                 const GatewayId& from,
                                 ConfigVersion version,
                                 ConfigOutput* output) {
  // Peers send five heartbeats a second; one fetch per second is enough to catch up.
  if (version > this->version() && (!last_fetch_ || now - *last_fetch_ >= kPeerTimeout)) {
    FetchEntries(now, from, output);
  }
}

void ConfigKeeper::OnEntryRecorded(MonoTime now, const ConfigEntry& entry, ConfigOutput* output) {
  if (ApplyNextEntry(entry, output)) {
    output->pushes.push_back({ConfigVersion(), "", {entry}});
  } else if (entry.version > version()) {
    PollTable(now, output);
  }
  UpdateReady(now);
}

MonoTime ConfigKeeper::next_timer() const {
  const MonoTime waited = start_time_ + kPeerTimeout;
  return !ready_ && last_poll_ < waited ? std::min(next_poll_, waited) : next_poll_;
}

ConfigVersion ConfigKeeper::version() const {
  return configuration_ == nullptr ? ConfigVersion() : configuration_->version;
}

std::optional<Configuration> ConfigKeeper::ConfigurationAt(ConfigVersion version) const {
  if (configuration_ == nullptr || version < base_->version || version > this->version()) {
    return std::nullopt;
  }
  Configuration result = *base_;
  for (const ConfigEntry& entry : history_) {
    if (entry.version <= version) {
      result = ApplyEntry(result, entry);
    }
  }
  return result;
}

void ConfigKeeper::PollTable(MonoTime now, ConfigOutput* output) {
  // Without jitter, gateways that started together would always poll the table at the same moment.
  std::uniform_real_distribution<double> factor(1.0 - kJitter, 1.0 + kJitter);
  next_poll_ = now + Scale(kPollInterval, factor(random_));
  last_poll_ = now;
  if (!ready_) {
    for (const GatewayId& peer : initial_peers_) {
      FetchEntries(now, peer, output);
    }
  }
  if (reader_.state() != ReadState::kReading) {
    reader_.StartRead(configuration_, &output->calls);
  }
}

void ConfigKeeper::ApplyRead(ConfigOutput* output) {
  store_up_ = reader_.state() == ReadState::kAtHead;
  read_failed_ = !store_up_;
  error_ = reader_.error();
  ConfigEntries push;
  if (configuration_ == nullptr && reader_.configuration() != nullptr) {
    // The reader started without a configuration, so the base is the snapshot that it read, or the
    // empty configuration if the table had none.
    ApplySnapshot(
        reader_.snapshot() != nullptr ? reader_.snapshot() : std::make_shared<Configuration>(),
        output);
  } else if (reader_.snapshot() != nullptr && reader_.snapshot()->version > version()) {
    ApplySnapshot(reader_.snapshot(), output);
  }
  for (const ConfigEntry& entry : reader_.entries()) {
    if (ApplyNextEntry(entry, output)) {
      push.entries.push_back(entry);
    }
  }
  if (store_up_) {
    source_ = ConfigSource::kTable;
  }
  // Only entries read from the table are pushed. Entries received from a peer are not forwarded,
  // because the gateway that read them has already pushed them to every peer.
  if (ready_ && !push.entries.empty()) {
    output->pushes.push_back(std::move(push));
  }
}

bool ConfigKeeper::ApplySnapshot(const ConfigurationPtr& snapshot, ConfigOutput* output) {
  if (configuration_ != nullptr && snapshot->version <= version()) {
    return false;
  }
  configuration_ = snapshot;
  base_ = snapshot;
  history_.clear();
  output->changed = true;
  return true;
}

bool ConfigKeeper::ApplyNextEntry(const ConfigEntry& entry, ConfigOutput* output) {
  if (configuration_ == nullptr || entry.version.value != version().value + 1) {
    return false;
  }
  try {
    configuration_ = std::make_shared<Configuration>(ApplyEntry(*configuration_, entry));
  } catch (const ConfigException& error) {
    error_ = error.what();
    return false;
  }
  history_.push_back(entry);
  if (history_.size() >= 2 * kMinHistory) {
    Configuration base = *base_;
    for (size_t i = 0; i < kMinHistory; ++i) {
      base = ApplyEntry(base, history_[i]);
    }
    base_ = std::make_shared<Configuration>(std::move(base));
    history_.erase(history_.begin(), history_.begin() + kMinHistory);
  }
  output->changed = true;
  return true;
}

void ConfigKeeper::FetchEntries(MonoTime now, const GatewayId& from, ConfigOutput* output) {
  last_fetch_ = now;
  output->fetches.emplace_back(from, ConfigFetch{version()});
}

void ConfigKeeper::UpdateReady(MonoTime now) {
  if (ready_ || configuration_ == nullptr) {
    return;
  }
  const bool table = store_up_ && version() >= reader_.head();
  // A log that was not read up to its head may lack accepted changes, so it is not enough to serve
  // traffic.
  const bool peers = read_failed_ && peer_snapshot_received_ && now - start_time_ >= kPeerTimeout;
  ready_ = table || peers;
}

}  // namespace jd
