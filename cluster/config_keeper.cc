#include "cluster/config_keeper.h"

#include <algorithm>
#include <random>

#include "common/config_codec.h"

namespace jd {

void ConfigKeeper::Start(MonoTime now, const std::vector<GatewayId>& peers, ConfigOutput* output) {
  started_ = now;
  start_peers_ = peers;
  Poll(now, output);
}

void ConfigKeeper::OnTimer(MonoTime now, ConfigOutput* output) {
  if (reader_.state() == ReadState::kBusy && now - polled_ > 10 * ConfigReader::kTimeout) {
    reader_.Abandon();
    TakeRead(output);
  }
  if (now >= next_poll_) {
    Poll(now, output);
  }
  CheckReady(now);
}

void ConfigKeeper::OnTableReply(MonoTime now,
                                uint64_t token,
                                const TableReply& reply,
                                ConfigOutput* output) {
  const bool busy = reader_.state() == ReadState::kBusy;
  reader_.OnReply(token, reply, &output->calls);
  if (busy && reader_.state() != ReadState::kBusy) {
    TakeRead(output);
  }
  CheckReady(now);
}

void ConfigKeeper::OnEntries(MonoTime now,
                             const GatewayId& from,
                             const ConfigEntries& entries,
                             ConfigOutput* output) {
  bool changed = false;
  peer_answered_ = peer_answered_ || !entries.snapshot.empty();
  if (!entries.snapshot.empty() &&
      (configuration_ == nullptr || version() < entries.snapshot_version)) {
    ConfigErrors errors;
    std::optional<Configuration> snapshot = ConfigurationFromJson(entries.snapshot, &errors);
    if (snapshot && snapshot->version == entries.snapshot_version) {
      changed = TakeSnapshot(std::make_shared<Configuration>(std::move(*snapshot)), output);
    }
  }
  for (const ConfigEntry& entry : entries.entries) {
    changed = TakeEntry(entry, output) || changed;
  }
  if (changed && source_ == ConfigSource::kNone) {
    source_ = ConfigSource::kPeers;
  }
  if (!entries.entries.empty() && version() < entries.entries.back().version) {
    Fetch(now, from, output);
  }
  CheckReady(now);
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
  for (const ConfigEntry& entry : entries_) {
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
  if (version > this->version() && (!fetched_ || now - *fetched_ >= kPeerWait)) {
    Fetch(now, from, output);
  }
}

void ConfigKeeper::OnRecorded(MonoTime now, const ConfigEntry& entry, ConfigOutput* output) {
  if (TakeEntry(entry, output)) {
    output->pushes.push_back({ConfigVersion(), "", {entry}});
  } else if (entry.version > version()) {
    Poll(now, output);
  }
  CheckReady(now);
}

MonoTime ConfigKeeper::next_timer() const {
  const MonoTime waited = started_ + kPeerWait;
  return !ready_ && polled_ < waited ? std::min(next_poll_, waited) : next_poll_;
}

ConfigVersion ConfigKeeper::version() const {
  return configuration_ == nullptr ? ConfigVersion() : configuration_->version;
}

std::optional<Configuration> ConfigKeeper::At(ConfigVersion version) const {
  if (configuration_ == nullptr || version < base_->version || version > this->version()) {
    return std::nullopt;
  }
  Configuration result = *base_;
  for (const ConfigEntry& entry : entries_) {
    if (entry.version <= version) {
      result = Apply(result, entry);
    }
  }
  return result;
}

void ConfigKeeper::Poll(MonoTime now, ConfigOutput* output) {
  // Without jitter, gateways that started together would always poll the table at the same moment.
  std::uniform_real_distribution<double> factor(1.0 - kJitter, 1.0 + kJitter);
  next_poll_ = now + Scale(kPollEvery, factor(random_));
  polled_ = now;
  if (!ready_) {
    for (const GatewayId& peer : start_peers_) {
      Fetch(now, peer, output);
    }
  }
  if (reader_.state() != ReadState::kBusy) {
    reader_.Begin(configuration_, &output->calls);
  }
}

void ConfigKeeper::TakeRead(ConfigOutput* output) {
  store_up_ = reader_.state() == ReadState::kReached;
  table_failed_ = !store_up_;
  error_ = reader_.error();
  ConfigEntries push;
  if (configuration_ == nullptr && reader_.configuration() != nullptr) {
    // The reader started without a configuration, so the base is the snapshot that it read, or the
    // empty configuration if the table had none.
    TakeSnapshot(
        reader_.snapshot() != nullptr ? reader_.snapshot() : std::make_shared<Configuration>(),
        output);
  } else if (reader_.snapshot() != nullptr && reader_.snapshot()->version > version()) {
    TakeSnapshot(reader_.snapshot(), output);
  }
  for (const ConfigEntry& entry : reader_.entries()) {
    if (TakeEntry(entry, output)) {
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

bool ConfigKeeper::TakeSnapshot(const ConfigurationPtr& snapshot, ConfigOutput* output) {
  if (configuration_ != nullptr && snapshot->version <= version()) {
    return false;
  }
  configuration_ = snapshot;
  base_ = snapshot;
  entries_.clear();
  output->changed = true;
  return true;
}

bool ConfigKeeper::TakeEntry(const ConfigEntry& entry, ConfigOutput* output) {
  if (configuration_ == nullptr || entry.version.value != version().value + 1) {
    return false;
  }
  try {
    configuration_ = std::make_shared<Configuration>(Apply(*configuration_, entry));
  } catch (const ConfigException& error) {
    error_ = error.what();
    return false;
  }
  entries_.push_back(entry);
  if (entries_.size() >= 2 * kHistory) {
    Configuration base = *base_;
    for (size_t i = 0; i < kHistory; ++i) {
      base = Apply(base, entries_[i]);
    }
    base_ = std::make_shared<Configuration>(std::move(base));
    entries_.erase(entries_.begin(), entries_.begin() + kHistory);
  }
  output->changed = true;
  return true;
}

void ConfigKeeper::Fetch(MonoTime now, const GatewayId& from, ConfigOutput* output) {
  fetched_ = now;
  output->fetches.emplace_back(from, ConfigFetch{version()});
}

void ConfigKeeper::CheckReady(MonoTime now) {
  if (ready_ || configuration_ == nullptr) {
    return;
  }
  const bool table = store_up_ && version() >= reader_.head();
  // A log that was not read up to its head may lack accepted changes, so it is not enough to serve
  // traffic.
  const bool peers = table_failed_ && peer_answered_ && now - started_ >= kPeerWait;
  ready_ = table || peers;
}

}  // namespace jd
